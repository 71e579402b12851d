# A data centre is cut off from the platform and its peers while a sheet is
# applied: the others take it, the cut one goes on serving, and it catches up
# afterwards with nothing reverted (INV-8).
. tests/system/lib.sh

fleet_platform
start_data_centre 1 4
start_data_centre 2 4
fleet_publish_hosts
start_entries entry-1-a entry-1-b entry-2-a entry-2-b
write_sheet "$work/sheet.csv" 4 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "casa-1 serves" wait_for 30 fleet_serving entry-1-a 2
check "casa-2 serves" wait_for 30 fleet_serving entry-2-a 2
check "entry-2-b answers" wait_for 10 answers entry-2-b

for host in entry-2-a entry-2-b; do
  cut_entry "$host" '{"platform":true,"peers":"*"}'
done
write_sheet "$work/next.csv" 4 2 v2
operator --timeout-ms 3000 sheet apply "$work/next.csv" \
  > "$work/apply.out" 2>&1 || true
for host in entry-1-a entry-1-b; do
  check "the sheet is in force on $host" wait_for 5 sheet_number_is "$host" 2
done
check "apply names the cut data centre" grep -q casa-2 "$work/apply.out"
check "the cut one keeps its sheet" sheet_number_is entry-2-a 1
check "and serves" test -n "$(generate entry-2-b "prompt" 4 | stream_text)"

for host in entry-2-a entry-2-b; do
  cut_entry "$host" '{"platform":false,"peers":""}'
done
for host in entry-2-a entry-2-b; do
  check "$host catches up" wait_for 30 sheet_number_is "$host" 2
done
check "casa-2 serves again" wait_for 60 fleet_serving entry-2-a 2
check "nothing was adopted twice or backwards" bash -c "
  for log in '$work'/entry-*.log; do
    sed -n 's/.*event=config-adopted object=sheet number=\([0-9]*\).*/\1/p' \"\$log\" \
      | sort -nu -c || exit 1
  done"
