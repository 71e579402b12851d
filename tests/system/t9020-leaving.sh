# A leaving endpoint receives no new work (INV-6), whichever source says so
# first: an operator's drain, the endpoint's own word, the host list.
. tests/system/lib.sh

fleet_platform
start_data_centre 1 4
fleet_engines booking-x casa-1 '' b1-2,b1-3,b1-4 --service=booking-app
fleet_publish_hosts
start_entries entry-1-a entry-1-b
write_sheet "$work/sheet.csv" 2 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "two groups serve" wait_for 30 fleet_serving entry-1-a 2
check "entry-1-b answers" wait_for 10 answers entry-1-b

# The requests that a service host ran, from its journal.
ran () {
  journal "$1" | grep -o "\"host\": *\"$2\"" | wc -l
}
visit () {
  book "$1" "$(new_key)" "{\"visit\":$2}" | grep -q '^HTTP/1.1 201'
}
visits () {
  local i
  for i in $(seq 12); do
    visit entry-1-a "$i"
    visit entry-1-b "$i"
  done
}
knows_leaving () {
  curl -sf "$(admin "$1")/status" \
    | grep -q "\"id\":\"$2\"[^}]*\"leaving\":true"
}
quiet_after () {
  local name=$1 host=$2 before
  check "entry-1-a knows that $host leaves" wait_for 5 knows_leaving entry-1-a "$host"
  check "entry-1-b knows that $host leaves" wait_for 5 knows_leaving entry-1-b "$host"
  before=$(ran "$name" "$host")
  visits
  check "$host gets no new work" test "$(ran "$name" "$host")" = "$before"
}

visits
check "the work is spread" test "$(ran booking-x b1-2)" -gt 0
operator drain b1-2 > /dev/null
quiet_after booking-x b1-2
engine_fault booking-x '{"host":"b1-3","leaving":true}'
quiet_after booking-x b1-3
sed -i '/"id":"b1-4"/s/"live"/"leaving"/' "$work/hosts.jsonl"
fleet_publish_hosts
quiet_after booking-x b1-4
check "the last one still serves" visit entry-1-a 1

operator undrain b1-2 > /dev/null
back () { ! knows_leaving entry-1-a b1-2; }
check "a drain can be taken back" wait_for 5 back
