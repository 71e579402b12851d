# The platform is down: generation goes on, calls that may not be repeated are
# refused as not run, a new entry host learns the sheet from its peers, and
# nothing reverts when the platform is back.
. tests/system/lib.sh

fleet_platform
start_data_centre 1 4
fleet_publish_hosts
start_entries entry-1-a entry-1-b
write_sheet "$work/sheet.csv" 2 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "groups serve" wait_for 30 fleet_serving entry-1-a 2
check "entry-1-a answers" wait_for 10 answers entry-1-a
# Hosts hear of a group that begins to serve one after the other.
check "entry-1-b answers" wait_for 10 answers entry-1-b

platform_fault '{"outage":true}'
for i in 1 2 3; do
  check "generation goes on" \
    test -n "$(generate entry-1-b "prompt $i" 4 | stream_text)"
done
answer=$(book entry-1-a "$(new_key)" '{"visit":"monday"}')
check "a booking is refused" grep -q '"code":3022' <<< "$answer"
check "as not run" grep -q '"outcome":"not-run"' <<< "$answer"
check "with a time to come back" grep -qi '^Retry-After:' <<< "$answer"
check "and was not run" bash -c "! grep -q bookings <<< '$(journal booking-1)'"

start_entries entry-1-c
check "a new entry host learns the sheet from peers" \
  wait_for 20 sheet_number_is entry-1-c 1
check "and sees the groups" wait_for 20 fleet_serving entry-1-c 2
check "and serves" wait_for 10 answers entry-1-c
if apply_sheet "$work/sheet.csv" > "$work/apply.out" 2>&1; then
  echo "apply succeeded during the outage" >&2
  exit 1
fi

platform_fault '{"outage":false}'
write_sheet "$work/next.csv" 1 2
check "a sheet is applied after the outage" apply_sheet "$work/next.csv"
for host in entry-1-a entry-1-b entry-1-c; do
  check "it is in force on $host" wait_for 10 sheet_number_is "$host" 2
done
