# A request that crashes every endpoint that runs it, sent again and again
# through every entry host, costs at most two groups of a data centre.
. tests/system/lib.sh

fleet_platform
start_data_centre 1 8
fleet_publish_hosts
start_entries entry-1-a entry-1-b entry-1-c
write_sheet "$work/sheet.csv" 4 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "four groups serve" wait_for 30 fleet_serving entry-1-a 4
for host in entry-1-a entry-1-b entry-1-c; do
  check "$host answers" wait_for 10 answers "$host"
done

for i in $(seq 8); do
  engine_fault engines-1 "{\"host\":\"e1-$i\",\"crash_word\":\"POISON\"}"
done
for round in 1 2 3 4; do
  for host in entry-1-a entry-1-b entry-1-c; do
    generate "$host" "read POISON aloud" 4 > "$work/poison.out" || true
  done
done
crashes () {
  journal engines-1 | grep -o '"crashed": *true' | wc -l
}
check "something crashed" test "$(crashes)" -ge 1
check "at most two endpoints were lost" test "$(crashes)" -le 2
for host in entry-1-a entry-1-b entry-1-c; do
  check "$host quarantines it" grep -q '"code":3017' \
    <<< "$(generate "$host" "read POISON aloud" 4)"
  check "others are served by $host" wait_for 20 answers "$host"
done
fingerprint=$(curl -sf "$(admin entry-1-a)/status" \
  | sed 's/.*"quarantine":\[{"fingerprint":"\([0-9a-f]*\)".*/\1/')
for i in $(seq 8); do
  engine_fault engines-1 "{\"host\":\"e1-$i\",\"crash_word\":\"\"}"
done
operator release "$fingerprint" > /dev/null
released () {
  generate entry-1-b "read POISON aloud" 4 | stream_text > /dev/null
}
check "an operator can release it" wait_for 30 released
