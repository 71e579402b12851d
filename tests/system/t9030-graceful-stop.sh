# A graceful stop cuts off no request in flight (INV-7) and takes nothing new.
. tests/system/lib.sh

fleet_platform
start_data_centre 1 2 --token-ms=40
fleet_publish_hosts
start_entries entry-1-a entry-1-b
write_sheet "$work/sheet.csv" 1 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "a group serves" wait_for 30 fleet_serving entry-1-a 1
check "entry-1-a answers" wait_for 10 answers entry-1-a

generate entry-1-a "long quote" 100 > "$work/long.stream" &
caller=$!
has_tokens () { [ "$(grep -c '"text"' "$work/long.stream")" -ge 3 ]; }
check "the stream has begun" wait_for 20 has_tokens
kill -TERM "$(cat "$work/entry-1-a.pid")"
health () {
  [ "$(curl -s -o /dev/null -w '%{http_code}' "$(callers "$1")/healthz")" = "$2" ]
}
check "the balancer is told" wait_for 5 health entry-1-a 503
refused () {
  generate entry-1-a "another" 1 | grep -q '"code":3012'
}
check "new requests are refused as draining" wait_for 10 refused
check "the other entry host stays" health entry-1-b 200
wait "$caller"
check "the stream ended whole" test -n "$(stream_text < "$work/long.stream")"
check "with every token" test "$(grep -c '"text":" ' "$work/long.stream")" = 100
gone () { ! kill -0 "$(cat "$work/entry-1-a.pid")" 2>/dev/null; }
check "then the process ends" wait_for 20 gone
wait "$(cat "$work/entry-1-a.pid")" && code=0 || code=$?
check "with exit 0" test "$code" = 0
check "and the lease was given back or not held" \
  wait_for 20 bash -c "curl -sf '$(admin entry-1-b)/status' | grep -q '\"held\":true'"
