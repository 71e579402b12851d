# Pairs of faults occur under a mixed load of streams, unstreamed responses, and
# bookings that are repeated through other entry hosts.  standin-check compares
# the responses with the requests that ran (INV-1, INV-3 to INV-5, data centre).
# Afterwards the fleet serves again.  SEED=N varies the load.
. tests/system/lib.sh
seed=${SEED:-1}

fleet_start_platform
start_data_centre 1 6
start_data_centre 2 6
fleet_publish_hosts
start_entries entry-1-a entry-1-b entry-1-c entry-2-a entry-2-b entry-2-c
write_sheet "$work/sheet.csv" 4 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "casa-1 serves" wait_for 30 fleet_has_serving_groups entry-1-a 2
check "casa-2 serves" wait_for 30 fleet_has_serving_groups entry-2-a 2
for host in entry-1-b entry-1-c entry-2-b entry-2-c; do
  check "$host serves a generation" wait_for 10 serves_generation "$host"
done
start_recorded_load load --seed "$seed" --rate 50 --count 2500 --seconds 35 \
  --drain-ms 20000 --deadline-ms 10000 --service-share 0.4 --get-share 0.2 \
  --repeat 0.4 --tokens 16 --prompts 100 --prompt-bytes 60
has_recorded_calls () { [ "$(wc -l < "$work/load.record")" -ge "$1" ]; }
check "the load runs" wait_for 20 has_recorded_calls 20

is_group_not_serving () { ! fleet_has_serving_groups "$1" 2; }
echo "fault: platform outage while an engine dies" >&2
read -r group generation victim <<< "$(find_serving_group entry-1-a)"
check "a group serves" test -n "$victim"
set_platform_fault '{"outage":true}'
set_engine_fault engines-1 "{\"host\":\"$victim\",\"dead\":true}"
record_absence engines-1 "$victim" "$group" "$generation"
check "the failure of the member is noticed" wait_for 10 is_group_not_serving entry-1-a
sleep 2
set_platform_fault '{"outage":false}'
check "the group is repaired" wait_for 30 fleet_has_serving_groups entry-1-a 2
set_engine_fault engines-1 "{\"host\":\"$victim\",\"dead\":false}"

echo "fault: responses of the platform are lost while an entry host is killed" >&2
set_platform_fault '{"lose_answers":10,"lose_writes_to":"claims/"}'
sleep 0.5
kill -KILL "$(cat "$work/entry-1-c.pid")"
sleep 1
set_platform_fault '{"lose_answers":0,"lose_writes_to":""}'

echo "fault: a data centre is partitioned while a sheet is applied" >&2
for host in entry-2-a entry-2-b entry-2-c; do
  partition_entry "$host" '{"platform":true,"peers":"*"}'
done
write_sheet "$work/next.csv" 4 2 v2
run_operator --timeout-ms 3000 sheet apply "$work/next.csv" \
  > "$work/apply.out" 2>&1 || true
check "the sheet is in force in casa-1" wait_for 5 has_sheet_number entry-1-a 2
for host in entry-2-a entry-2-b entry-2-c; do
  partition_entry "$host" '{"platform":false,"peers":""}'
done
check "casa-2 adopts the new sheet" wait_for 30 has_sheet_number entry-2-a 2

echo "fault: an entry host is paused while a group member dies" >&2
check "casa-2 serves" wait_for 30 fleet_has_serving_groups entry-2-a 2
read -r group generation victim <<< "$(find_serving_group entry-2-a)"
kill -STOP "$(cat "$work/entry-2-b.pid")"
set_engine_fault engines-2 "{\"host\":\"$victim\",\"dead\":true}"
record_absence engines-2 "$victim" "$group" "$generation"
check "the failure of the member is noticed" wait_for 10 is_group_not_serving entry-2-a
sleep 4
kill -CONT "$(cat "$work/entry-2-b.pid")"

check "the load ends" wait_for 60 has_load_ended load
check_recorded_load load > "$work/check.out" 2>&1 || { cat "$work/check.out"; exit 1; }
cat "$work/check.out"
grep -E '^(sent|answered|refused|unanswered|broken_streams|code_)' \
  "$work/load.out" | paste -sd' '
check "the checker finds no violation" grep -q 'faults=0$' "$work/check.out"
check "the load had replays" grep -q '"replayed":true' "$work/load.record"
check "the load had bookings" test \
  "$(grep -c '"kind":"booking".*"status":201' "$work/load.record")" -ge 100
check "the load had streams" test \
  "$(grep -c '"kind":"c.*"ended":true' "$work/load.record")" -ge 200

check "casa-1 serves again" wait_for 40 fleet_has_serving_groups entry-1-a 2
check "casa-2 serves again" wait_for 40 fleet_has_serving_groups entry-2-a 2
can_book () {
  send_booking "$1" "$(new_idempotency_key)" '{"visit":"after"}' | grep -q '^HTTP/1.1 201'
}
for host in entry-1-a entry-1-b entry-2-a entry-2-b entry-2-c; do
  check "$host serves a generation" wait_for 20 serves_generation "$host"
  check "$host books" wait_for 20 can_book "$host"
done
