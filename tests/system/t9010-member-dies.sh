# A group member dies: its group gets no requests while it is incomplete
# (INV-1), other groups serve, and a spare of the same domain repairs the group.
. tests/system/lib.sh

fleet_start_platform
start_data_centre 1 5
fleet_publish_hosts
start_entries entry-1-a entry-1-b
write_sheet "$work/sheet.csv" 2 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "two groups serve" wait_for 30 fleet_has_serving_groups entry-1-a 2
check "entry-1-b serves a generation" wait_for 10 serves_generation entry-1-b

# A spare may complete the group between two looks, so the number of serving
# groups need not be seen to fall.
is_victim_noticed () {
  local status
  status=$(curl -sf "$(fleet_admin_url entry-1-a)/status") || return 1
  [ "$(grep -o '"serving":"serving"' <<< "$status" | wc -l)" -lt 2 ] \
    || ! grep -q "\"host\":\"$victim\",\"present\":true" <<< "$status"
}
victim=$(curl -sf "$(fleet_admin_url entry-1-a)/status" \
  | grep -o '"members":\[{"host":"[^"]*"' | head -1 | cut -d'"' -f6)
set_engine_fault engines-1 "{\"host\":\"$victim\",\"dead\":true}"
check "the failure of the member is noticed" wait_for 10 is_victim_noticed
for i in 1 2 3 4 5 6; do
  check "the other group serves during the repair" \
    test -n "$(stream_generation entry-1-b "prompt $i" 4 | read_complete_stream)"
done
check "the group is repaired" wait_for 60 fleet_has_serving_groups entry-1-a 2
check "no group has the dead member as present" bash -c "! grep -q '\"host\":\"$victim\",\"present\":true' \
  <<< '$(curl -sf "$(fleet_admin_url entry-1-a)/status")'"
check "explain shows the placement decision" grep -q placement \
  <<< "$(run_operator explain host "$victim" 2>&1; run_operator explain group quotes.casa-1.0; run_operator explain group quotes.casa-1.1)"
