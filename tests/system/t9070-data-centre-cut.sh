# A data centre is partitioned from the platform and its peers while a sheet is
# applied: the other data centre adopts the sheet, the partitioned one serves
# with the old sheet and adopts the new one afterwards.  No configuration is
# reverted (INV-8).
. tests/system/lib.sh

fleet_start_platform
start_data_centre 1 4
start_data_centre 2 4
fleet_publish_hosts
start_entries entry-1-a entry-1-b entry-2-a entry-2-b
write_sheet "$work/sheet.csv" 4 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "casa-1 serves" wait_for 30 fleet_has_serving_groups entry-1-a 2
check "casa-2 serves" wait_for 30 fleet_has_serving_groups entry-2-a 2
check "entry-2-b serves a generation" wait_for 10 serves_generation entry-2-b

for host in entry-2-a entry-2-b; do
  partition_entry "$host" '{"platform":true,"peers":"*"}'
done
write_sheet "$work/next.csv" 4 2 v2
run_operator --timeout-ms 3000 sheet apply "$work/next.csv" \
  > "$work/apply.out" 2>&1 || true
for host in entry-1-a entry-1-b; do
  check "the sheet is in force on $host" wait_for 5 has_sheet_number "$host" 2
done
check "apply names the partitioned data centre" grep -q casa-2 "$work/apply.out"
check "the partitioned data centre keeps its sheet" has_sheet_number entry-2-a 1
check "the partitioned data centre serves" \
  test -n "$(stream_generation entry-2-b "prompt" 4 | read_complete_stream)"

for host in entry-2-a entry-2-b; do
  partition_entry "$host" '{"platform":false,"peers":""}'
done
for host in entry-2-a entry-2-b; do
  check "$host adopts the new sheet" wait_for 30 has_sheet_number "$host" 2
done
check "casa-2 serves again" wait_for 60 fleet_has_serving_groups entry-2-a 2
check "sheet numbers were adopted in rising order" bash -c "
  for log in '$work'/entry-*.log; do
    sed -n 's/.*event=config-adopted object=sheet number=\([0-9]*\).*/\1/p' \"\$log\" \
      | sort -nu -c || exit 1
  done"
