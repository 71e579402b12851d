# During a platform outage generations are served, non-repeatable calls are
# rejected as not run, and a new entry host gets the sheet from its peers.  After
# the outage nothing is reverted, and a new sheet comes into force everywhere.
. tests/system/lib.sh

fleet_start_platform
start_data_centre 1 4
fleet_publish_hosts
start_entries entry-1-a entry-1-b
write_sheet "$work/sheet.csv" 2 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "groups serve" wait_for 30 fleet_has_serving_groups entry-1-a 2
check "entry-1-a serves a generation" wait_for 10 serves_generation entry-1-a
# Entry hosts learn at different times that a group serves.
check "entry-1-b serves a generation" wait_for 10 serves_generation entry-1-b

set_platform_fault '{"outage":true}'
for i in 1 2 3; do
  check "generations are served during the outage" \
    test -n "$(stream_generation entry-1-b "prompt $i" 4 | read_complete_stream)"
done
response=$(send_booking entry-1-a "$(new_idempotency_key)" '{"visit":"monday"}')
check "a booking is rejected" grep -q '"code":3022' <<< "$response"
check "the rejection says that the booking was not run" \
  grep -q '"outcome":"not-run"' <<< "$response"
check "the rejection has Retry-After" grep -qi '^Retry-After:' <<< "$response"
check "the service did not run the booking" \
  bash -c "! grep -q bookings <<< '$(fetch_journal booking-1)'"

start_entries entry-1-c
check "a new entry host gets the sheet from its peers" \
  wait_for 20 has_sheet_number entry-1-c 1
check "the new entry host knows the groups" wait_for 20 fleet_has_serving_groups entry-1-c 2
check "the new entry host serves a generation" wait_for 10 serves_generation entry-1-c
if apply_sheet "$work/sheet.csv" > "$work/apply.out" 2>&1; then
  echo "apply succeeded during the outage" >&2
  exit 1
fi

set_platform_fault '{"outage":false}'
write_sheet "$work/next.csv" 1 2
check "a sheet is applied after the outage" apply_sheet "$work/next.csv"
for host in entry-1-a entry-1-b entry-1-c; do
  check "the new sheet is in force on $host" wait_for 10 has_sheet_number "$host" 2
done
