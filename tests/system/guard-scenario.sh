# Runs a short load with a fault for each guard that a build of
# tests/system/broken-guards.sh may lack.  Writes the output of standin-check to
# OUTPUT or stdout and exits with its status.
# Usage: guard-scenario.sh BUILD [OUTPUT]; SEED=N varies the load.
. tests/system/lib.sh
output=${2:-/dev/stdout}

fleet_start_platform
start_data_centre 1 4
start_data_centre 2 4
fleet_start_engines booking-x casa-1 '' b1-2,b1-3 --service=booking-app
fleet_publish_hosts
start_entries entry-1-a entry-1-b entry-1-c entry-2-a
write_sheet "$work/sheet.csv" 4 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "casa-1 serves" wait_for 30 fleet_has_serving_groups entry-1-a 2
check "casa-2 serves" wait_for 30 fleet_has_serving_groups entry-2-a 2
for host in entry-1-b entry-1-c; do
  check "$host serves a generation" wait_for 10 serves_generation "$host"
done

# An operator drains a service host.
run_operator drain b1-3 > /dev/null
record_absence booking-x b1-3 '' 0
# The engines e1-1 to e1-4 of casa-1 repeat tokens on a resume; one group leader
# breaks streams.
for host in e1-1 e1-2 e1-3 e1-4; do
  set_engine_fault engines-1 "{\"host\":\"$host\",\"resume_early\":2}"
done
leader=$(curl -sf "$(fleet_admin_url entry-1-a)/status" \
  | grep -o '"members":\[{"host":"[^"]*"' | head -1 | cut -d'"' -f6)
set_engine_fault engines-1 "{\"host\":\"$leader\",\"break_after_tokens\":8}"

start_recorded_load load --seed "${SEED:-1}" --rate 80 --count 1000 --seconds 10 \
  --drain-ms 10000 --deadline-ms 8000 --service-share 0.5 --get-share 0.1 \
  --repeat 0.5 --tokens 16 --prompts 100 --prompt-bytes 60
has_recorded_calls () { [ "$(wc -l < "$work/load.record")" -ge "$1" ]; }
check "the load runs" wait_for 20 has_recorded_calls 50

# Send each key at the same time through three entry hosts.  The load does not
# record these requests, so the checker sees only their idempotency keys.
pids=()
for i in $(seq 10); do
  key=$(new_idempotency_key)
  for host in entry-1-a entry-1-b entry-1-c; do
    send_booking "$host" "$key" "{\"visit\":$i}" > /dev/null &
    pids+=($!)
  done
done
wait "${pids[@]}" || true

# Services run calls whose responses are lost.
for _ in 1 2 3; do
  set_engine_fault booking-1 '{"host":"b1-1","lose_answers":2}'
  set_engine_fault booking-x '{"host":"b1-2","lose_answers":2}'
  sleep 0.5
done

# A group member dies during a platform outage, which prevents the repair of the
# group.
read -r group generation member <<< "$(find_serving_group entry-2-a)"
set_platform_fault '{"outage":true}'
set_engine_fault engines-2 "{\"host\":\"$member\",\"dead\":true}"
record_absence engines-2 "$member" "$group" "$generation"
check "the load ends" wait_for 40 has_load_ended load
set_platform_fault '{"outage":false}'

status=0
check_recorded_load load > "$output" 2>&1 || status=$?
# The checker's status is the result, so the exit trap must not change it.
trap 'fleet_stop; rm -rf "$work"' EXIT
exit "$status"
