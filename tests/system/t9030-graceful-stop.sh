# A graceful stop lets requests in flight complete (INV-7) and admits no new
# requests.
. tests/system/lib.sh

fleet_start_platform
start_data_centre 1 2 --token-ms=40
fleet_publish_hosts
start_entries entry-1-a entry-1-b
write_sheet "$work/sheet.csv" 1 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "a group serves" wait_for 30 fleet_has_serving_groups entry-1-a 1
check "entry-1-a serves a generation" wait_for 10 serves_generation entry-1-a

stream_generation entry-1-a "long quote" 100 > "$work/long.stream" &
caller=$!
has_first_tokens () { [ "$(grep -c '"text"' "$work/long.stream")" -ge 3 ]; }
check "the stream has begun" wait_for 20 has_first_tokens
kill -TERM "$(cat "$work/entry-1-a.pid")"
has_health_status () {
  [ "$(curl -s -o /dev/null -w '%{http_code}' "$(fleet_callers_url "$1")/healthz")" = "$2" ]
}
check "the health check reports the drain to the balancer" \
  wait_for 5 has_health_status entry-1-a 503
is_rejected_as_draining () {
  stream_generation entry-1-a "another" 1 | grep -q '"code":3012'
}
check "new requests are rejected as draining" wait_for 10 is_rejected_as_draining
check "the other entry host stays healthy" has_health_status entry-1-b 200
wait "$caller"
check "the stream completed" test -n "$(read_complete_stream < "$work/long.stream")"
check "the stream has every token" test "$(grep -c '"text":" ' "$work/long.stream")" = 100
has_stopped () { ! kill -0 "$(cat "$work/entry-1-a.pid")" 2>/dev/null; }
check "the process ends after the stream" wait_for 20 has_stopped
wait "$(cat "$work/entry-1-a.pid")" && code=0 || code=$?
check "the exit status is 0" test "$code" = 0
check "the other entry host holds the lease" \
  wait_for 20 bash -c "curl -sf '$(fleet_admin_url entry-1-b)/status' | grep -q '\"held\":true'"
