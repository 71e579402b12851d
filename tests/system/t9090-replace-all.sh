# All entry hosts are replaced one after another under load: no response is
# wrong, duplicated or truncated, and the configuration stays in force.
. tests/system/lib.sh

fleet_start_platform
start_data_centre 1 4 --token-ms=10
fleet_publish_hosts
start_entries entry-1-a entry-1-b entry-1-c
write_sheet "$work/sheet.csv" 2 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "two groups serve" wait_for 30 fleet_has_serving_groups entry-1-a 2
for host in entry-1-a entry-1-b entry-1-c; do
  check "$host serves a generation" wait_for 10 serves_generation "$host"
done
expected=$(stream_generation entry-1-a "load prompt" 20 | read_complete_stream)

# run_caller N: sends requests as the balancer does: it tries the next entry host
# if one does not listen or reports that the request was not run.
run_caller () {
  local i host response
  for i in $(seq 40); do
    for host in entry-1-a entry-1-b entry-1-c entry-1-d entry-1-e entry-1-f; do
      [ -e "$work/$host.callers" ] || continue
      response=$(stream_generation "$host" "load prompt" 20 || true)
      [ -z "$response" ] && continue
      grep -q '"outcome":"not-run"' <<< "$response" && continue
      break
    done
    if [ "$(read_complete_stream <<< "$response")" = "$expected" ]; then
      echo good
    else
      echo "bad: $response"
    fi
  done > "$work/caller.$1"
}
pids=()
for n in 1 2 3 4; do
  run_caller "$n" &
  pids+=($!)
done
replace_entry () {
  start_entries "$2"
  check "$2 gets the sheet" wait_for 20 has_sheet_number "$2" 1
  check "$2 serves a generation" wait_for 20 serves_generation "$2"
  kill -TERM "$(cat "$work/$1.pid")"
  has_stopped () { ! kill -0 "$(cat "$work/$1.pid")" 2>/dev/null; }
  check "$1 ends" wait_for 40 has_stopped "$1"
}
fleet_seed="127.0.0.1:$(fleet_port entry-1-a peers_port),127.0.0.1:$(fleet_port entry-1-b peers_port),127.0.0.1:$(fleet_port entry-1-c peers_port)"
replace_entry entry-1-a entry-1-d
replace_entry entry-1-b entry-1-e
fleet_seed="127.0.0.1:$(fleet_port entry-1-d peers_port),$fleet_seed"
replace_entry entry-1-c entry-1-f
wait "${pids[@]}"
check "every response was complete and correct" \
  bash -c "! grep -h bad '$work'/caller.*"
check "all 160 requests got a response" \
  test "$(cat "$work"/caller.* | grep -c good)" = 160
check "the sheet is still in force" has_sheet_number entry-1-f 1
