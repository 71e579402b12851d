# Every entry host is replaced one after another under load: no answer is
# wrong, doubled or cut, and the configuration survives.
. tests/system/lib.sh

fleet_platform
start_data_centre 1 4 --token-ms=10
fleet_publish_hosts
start_entries entry-1-a entry-1-b entry-1-c
write_sheet "$work/sheet.csv" 2 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "two groups serve" wait_for 30 fleet_serving entry-1-a 2
for host in entry-1-a entry-1-b entry-1-c; do
  check "$host answers" wait_for 10 answers "$host"
done
expected=$(generate entry-1-a "load prompt" 20 | stream_text)

# A caller as behind the balancer: on to the next entry host on a refusal that
# says that the request was not run, or when none listens.
caller () {
  local i host answer
  for i in $(seq 40); do
    for host in entry-1-a entry-1-b entry-1-c entry-1-d entry-1-e entry-1-f; do
      [ -e "$work/$host.callers" ] || continue
      answer=$(generate "$host" "load prompt" 20 || true)
      [ -z "$answer" ] && continue
      grep -q '"outcome":"not-run"' <<< "$answer" && continue
      break
    done
    if [ "$(stream_text <<< "$answer")" = "$expected" ]; then
      echo good
    else
      echo "bad: $answer"
    fi
  done > "$work/caller.$1"
}
pids=()
for n in 1 2 3 4; do
  caller "$n" &
  pids+=($!)
done
replace () {
  start_entries "$2"
  check "$2 learns the sheet" wait_for 20 sheet_number_is "$2" 1
  check "$2 answers" wait_for 20 answers "$2"
  kill -TERM "$(cat "$work/$1.pid")"
  gone () { ! kill -0 "$(cat "$work/$1.pid")" 2>/dev/null; }
  check "$1 ends" wait_for 40 gone "$1"
}
fleet_seed="127.0.0.1:$(fleet_port entry-1-a peers_port),127.0.0.1:$(fleet_port entry-1-b peers_port),127.0.0.1:$(fleet_port entry-1-c peers_port)"
replace entry-1-a entry-1-d
replace entry-1-b entry-1-e
fleet_seed="127.0.0.1:$(fleet_port entry-1-d peers_port),$fleet_seed"
replace entry-1-c entry-1-f
wait "${pids[@]}"
check "every answer was whole and right" \
  bash -c "! grep -h bad '$work'/caller.*"
check "there were answers" \
  test "$(cat "$work"/caller.* | grep -c good)" = 160
check "the sheet is still in force" sheet_number_is entry-1-f 1
