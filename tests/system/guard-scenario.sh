# A short load with one fault for each guard that tests/system/broken-guards.sh
# leaves out.  Prints the checker's output and exits with its status:
# guard-scenario.sh BUILD [OUTPUT].  SEED=N varies the load.
. tests/system/lib.sh
output=${2:-/dev/stdout}

fleet_platform
start_data_centre 1 4
start_data_centre 2 4
fleet_engines booking-x casa-1 '' b1-2,b1-3 --service=booking-app
fleet_publish_hosts
start_entries entry-1-a entry-1-b entry-1-c entry-2-a
write_sheet "$work/sheet.csv" 4 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "casa-1 serves" wait_for 30 fleet_serving entry-1-a 2
check "casa-2 serves" wait_for 30 fleet_serving entry-2-a 2
for host in entry-1-b entry-1-c; do
  check "$host answers" wait_for 10 answers "$host"
done

# An operator drains a service host.
operator drain b1-3 > /dev/null
absent booking-x b1-3 '' 0
# Half of the engines of casa-1 break streams, and repeat tokens on a resume.
for host in e1-1 e1-2 e1-3 e1-4; do
  engine_fault engines-1 "{\"host\":\"$host\",\"resume_early\":2}"
done
leader=$(curl -sf "$(admin entry-1-a)/status" \
  | grep -o '"members":\[{"host":"[^"]*"' | head -1 | cut -d'"' -f6)
engine_fault engines-1 "{\"host\":\"$leader\",\"break_after_tokens\":8}"

start_load load --seed "${SEED:-1}" --rate 80 --count 1000 --seconds 10 \
  --drain-ms 10000 --deadline-ms 8000 --service-share 0.5 --get-share 0.1 \
  --repeat 0.5 --tokens 16 --prompts 100 --prompt-bytes 60
answered_some () { [ "$(wc -l < "$work/load.record")" -ge "$1" ]; }
check "the load runs" wait_for 20 answered_some 50

# Repeats of one key at the same moment through three entry hosts.  Requests
# that the load did not send count by their idempotency key alone.
pids=()
for i in $(seq 10); do
  key=$(new_key)
  for host in entry-1-a entry-1-b entry-1-c; do
    book "$host" "$key" "{\"visit\":$i}" > /dev/null &
    pids+=($!)
  done
done
wait "${pids[@]}" || true

# The answers of services are lost after the calls ran.
for _ in 1 2 3; do
  engine_fault booking-1 '{"host":"b1-1","lose_answers":2}'
  engine_fault booking-x '{"host":"b1-2","lose_answers":2}'
  sleep 0.5
done

# A member of a group dies, and the platform's outage keeps the group.
read -r group generation member <<< "$(group_member entry-2-a)"
platform_fault '{"outage":true}'
engine_fault engines-2 "{\"host\":\"$member\",\"dead\":true}"
absent engines-2 "$member" "$group" "$generation"
check "the load ends" wait_for 40 load_ended load
platform_fault '{"outage":false}'

status=0
checked load > "$output" 2>&1 || status=$?
# The verdict is the result; finish only cleans up.
trap 'fleet_stop; rm -rf "$work"' EXIT
exit "$status"
