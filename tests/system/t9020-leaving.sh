# A leaving endpoint receives no new requests (INV-6), whichever source reports
# it first: an operator's drain, the endpoint itself, or the host list.
. tests/system/lib.sh

fleet_start_platform
start_data_centre 1 4
fleet_start_engines booking-x casa-1 '' b1-2,b1-3,b1-4 --service=booking-app
fleet_publish_hosts
start_entries entry-1-a entry-1-b
write_sheet "$work/sheet.csv" 2 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "two groups serve" wait_for 30 fleet_has_serving_groups entry-1-a 2
check "entry-1-b serves a generation" wait_for 10 serves_generation entry-1-b

# count_runs NAME HOST: prints how many requests a service host ran.
count_runs () {
  fetch_journal "$1" | grep -o "\"host\": *\"$2\"" | wc -l
}
can_book () {
  send_booking "$1" "$(new_idempotency_key)" "{\"visit\":$2}" | grep -q '^HTTP/1.1 201'
}
send_bookings () {
  local i
  for i in $(seq 12); do
    can_book entry-1-a "$i"
    can_book entry-1-b "$i"
  done
}
is_known_as_leaving () {
  curl -sf "$(fleet_admin_url "$1")/status" \
    | grep -q "\"id\":\"$2\"[^}]*\"leaving\":true"
}
check_no_new_requests () {
  local name=$1 host=$2 before
  check "entry-1-a knows that $host is leaving" wait_for 5 is_known_as_leaving entry-1-a "$host"
  check "entry-1-b knows that $host is leaving" wait_for 5 is_known_as_leaving entry-1-b "$host"
  before=$(count_runs "$name" "$host")
  send_bookings
  check "$host gets no new requests" test "$(count_runs "$name" "$host")" = "$before"
}

send_bookings
check "b1-2 ran some of the requests" test "$(count_runs booking-x b1-2)" -gt 0
run_operator drain b1-2 > /dev/null
check_no_new_requests booking-x b1-2
set_engine_fault booking-x '{"host":"b1-3","leaving":true}'
check_no_new_requests booking-x b1-3
sed -i '/"id":"b1-4"/s/"live"/"leaving"/' "$work/hosts.jsonl"
fleet_publish_hosts
check_no_new_requests booking-x b1-4
check "the remaining service host serves" can_book entry-1-a 1

run_operator undrain b1-2 > /dev/null
is_undrained () { ! is_known_as_leaving entry-1-a b1-2; }
check "a drain can be undone" wait_for 5 is_undrained
