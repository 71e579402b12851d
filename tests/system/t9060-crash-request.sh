# A request that crashes every endpoint that runs it is sent repeatedly through
# every entry host.  It crashes at most two groups of a data centre before it is
# quarantined.
. tests/system/lib.sh

fleet_start_platform
start_data_centre 1 8
fleet_publish_hosts
start_entries entry-1-a entry-1-b entry-1-c
write_sheet "$work/sheet.csv" 4 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "four groups serve" wait_for 30 fleet_has_serving_groups entry-1-a 4
for host in entry-1-a entry-1-b entry-1-c; do
  check "$host serves a generation" wait_for 10 serves_generation "$host"
done

for i in $(seq 8); do
  set_engine_fault engines-1 "{\"host\":\"e1-$i\",\"crash_word\":\"POISON\"}"
done
for round in 1 2 3 4; do
  for host in entry-1-a entry-1-b entry-1-c; do
    stream_generation "$host" "read POISON aloud" 4 > "$work/poison.out" || true
  done
done
count_crashes () {
  fetch_journal engines-1 | grep -o '"crashed": *true' | wc -l
}
check "an endpoint crashed" test "$(count_crashes)" -ge 1
check "at most two endpoints crashed" test "$(count_crashes)" -le 2
for host in entry-1-a entry-1-b entry-1-c; do
  check "$host rejects the request as quarantined" grep -q '"code":3017' \
    <<< "$(stream_generation "$host" "read POISON aloud" 4)"
  check "$host serves other requests" wait_for 20 serves_generation "$host"
done
fingerprint=$(curl -sf "$(fleet_admin_url entry-1-a)/status" \
  | sed 's/.*"quarantine":\[{"fingerprint":"\([0-9a-f]*\)".*/\1/')
for i in $(seq 8); do
  set_engine_fault engines-1 "{\"host\":\"e1-$i\",\"crash_word\":\"\"}"
done
run_operator release "$fingerprint" > /dev/null
is_released () {
  stream_generation entry-1-b "read POISON aloud" 4 | read_complete_stream > /dev/null
}
check "an operator can release the request" wait_for 30 is_released
