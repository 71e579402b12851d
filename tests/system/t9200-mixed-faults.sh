# Faults come two at a time under a mixed load: streams, whole answers, and
# bookings that are repeated through other entry hosts.  An independent checker
# compares what callers were told with what ran (INV-1, INV-3 to INV-5, place),
# and the fleet serves again afterwards.  SEED=N varies the load.
. tests/system/lib.sh
seed=${SEED:-1}

fleet_platform
start_data_centre 1 6
start_data_centre 2 6
fleet_publish_hosts
start_entries entry-1-a entry-1-b entry-1-c entry-2-a entry-2-b entry-2-c
write_sheet "$work/sheet.csv" 4 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "casa-1 serves" wait_for 30 fleet_serving entry-1-a 2
check "casa-2 serves" wait_for 30 fleet_serving entry-2-a 2
for host in entry-1-b entry-1-c entry-2-b entry-2-c; do
  check "$host answers" wait_for 10 answers "$host"
done
start_load load --seed "$seed" --rate 50 --count 2500 --seconds 35 \
  --drain-ms 20000 --deadline-ms 10000 --service-share 0.4 --get-share 0.2 \
  --repeat 0.4 --tokens 16 --prompts 100 --prompt-bytes 60
answered_some () { [ "$(wc -l < "$work/load.record")" -ge "$1" ]; }
check "the load runs" wait_for 20 answered_some 20

not_serving () { ! fleet_serving "$1" 2; }
echo "platform outage while an engine dies" >&2
read -r group generation victim <<< "$(group_member entry-1-a)"
check "a group serves" test -n "$victim"
platform_fault '{"outage":true}'
engine_fault engines-1 "{\"host\":\"$victim\",\"dead\":true}"
absent engines-1 "$victim" "$group" "$generation"
check "the loss is seen" wait_for 10 not_serving entry-1-a
sleep 2
platform_fault '{"outage":false}'
check "the group is repaired" wait_for 30 fleet_serving entry-1-a 2
engine_fault engines-1 "{\"host\":\"$victim\",\"dead\":false}"

echo "answers of the platform are lost while an entry host is killed" >&2
platform_fault '{"lose_answers":10,"lose_writes_to":"claims/"}'
sleep 0.5
kill -KILL "$(cat "$work/entry-1-c.pid")"
sleep 1
platform_fault '{"lose_answers":0,"lose_writes_to":""}'

echo "a data centre is cut off while a sheet is applied" >&2
for host in entry-2-a entry-2-b entry-2-c; do
  cut_entry "$host" '{"platform":true,"peers":"*"}'
done
write_sheet "$work/next.csv" 4 2 v2
operator --timeout-ms 3000 sheet apply "$work/next.csv" \
  > "$work/apply.out" 2>&1 || true
check "the sheet is in force in casa-1" wait_for 5 sheet_number_is entry-1-a 2
for host in entry-2-a entry-2-b entry-2-c; do
  cut_entry "$host" '{"platform":false,"peers":""}'
done
check "casa-2 catches up" wait_for 30 sheet_number_is entry-2-a 2

echo "a daemon is paused while a group member dies" >&2
check "casa-2 serves" wait_for 30 fleet_serving entry-2-a 2
read -r group generation victim <<< "$(group_member entry-2-a)"
kill -STOP "$(cat "$work/entry-2-b.pid")"
engine_fault engines-2 "{\"host\":\"$victim\",\"dead\":true}"
absent engines-2 "$victim" "$group" "$generation"
check "the loss is seen" wait_for 10 not_serving entry-2-a
sleep 4
kill -CONT "$(cat "$work/entry-2-b.pid")"

check "the load ends" wait_for 60 load_ended load
checked load > "$work/check.out" 2>&1 || { cat "$work/check.out"; exit 1; }
cat "$work/check.out"
grep -E '^(sent|answered|refused|unanswered|broken_streams|code_)' \
  "$work/load.out" | paste -sd' '
check "the checker finds nothing" grep -q 'faults=0$' "$work/check.out"
check "it saw replays" grep -q '"replayed":true' "$work/load.record"
check "it saw bookings" test \
  "$(grep -c '"kind":"booking".*"status":201' "$work/load.record")" -ge 100
check "it saw streams" test \
  "$(grep -c '"kind":"c.*"ended":true' "$work/load.record")" -ge 200

check "casa-1 serves again" wait_for 40 fleet_serving entry-1-a 2
check "casa-2 serves again" wait_for 40 fleet_serving entry-2-a 2
books () {
  book "$1" "$(new_key)" '{"visit":"after"}' | grep -q '^HTTP/1.1 201'
}
for host in entry-1-a entry-1-b entry-2-a entry-2-b entry-2-c; do
  check "$host answers" wait_for 20 answers "$host"
  check "$host books" wait_for 20 books "$host"
done
