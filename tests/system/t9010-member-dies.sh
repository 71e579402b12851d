# A member dies: its group gets no work while it is not whole (INV-1), other
# groups answer, and a spare of the same domain repairs it.
. tests/system/lib.sh

fleet_platform
start_data_centre 1 5
fleet_publish_hosts
start_entries entry-1-a entry-1-b
write_sheet "$work/sheet.csv" 2 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "two groups serve" wait_for 30 fleet_serving entry-1-a 2
check "entry-1-b answers" wait_for 10 answers entry-1-b

serving () {
  curl -sf "$(admin entry-1-a)/status" | grep -o '"serving":"serving"' | wc -l
}
not_whole () {
  [ "$(serving)" -lt 2 ]
}
victim=$(curl -sf "$(admin entry-1-a)/status" \
  | grep -o '"members":\[{"host":"[^"]*"' | head -1 | cut -d'"' -f6)
engine_fault engines-1 "{\"host\":\"$victim\",\"dead\":true}"
check "the loss is seen" wait_for 10 not_whole
for i in 1 2 3 4 5 6; do
  check "requests are answered meanwhile" \
    test -n "$(generate entry-1-b "prompt $i" 4 | stream_text)"
done
check "the group is repaired" wait_for 60 fleet_serving entry-1-a 2
check "without the dead member" bash -c "! grep -q '\"host\":\"$victim\",\"present\":true' \
  <<< '$(curl -sf "$(admin entry-1-a)/status")'"
check "the decision is explained" grep -q placement \
  <<< "$(operator explain host "$victim" 2>&1; operator explain group quotes.casa-1.0; operator explain group quotes.casa-1.1)"
