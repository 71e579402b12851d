# A booking runs at most once (INV-5), and a response says "not run" only when
# this is certain (INV-4).  Repeats come through several entry hosts at the same
# time, after lost responses of the platform, and after the entry host that had
# the first request died.
. tests/system/lib.sh

fleet_start_platform
start_data_centre 1 2
fleet_start_engines slow-booking casa-1 '' b1-9 --service=slow-app --call-ms=3000
fleet_publish_hosts
start_entries entry-1-a entry-1-b entry-1-c
write_sheet "$work/sheet.csv" 1 2
sed -i '/^end/d' "$work/sheet.csv"
printf '%s\n' 'service,slow-app,,,,,,casa-1,,,,,,,,*' 'end,,,,,,6,,,,,,,,,' \
  >> "$work/sheet.csv"
check "the sheet is applied" apply_sheet "$work/sheet.csv"
count_bookings () {
  fetch_journal "$1" | grep -o '"path": *"/bookings"' | wc -l
}
can_book () {
  send_booking "$1" "$(new_idempotency_key)" '{"warm":"up"}' | grep -q '^HTTP/1.1 201'
}
# A host that has just started refuses until its peers have told it of strikes.
for host in entry-1-a entry-1-b entry-1-c; do
  check "bookings work at $host" wait_for 20 can_book "$host"
done
start=$(count_bookings booking-1)

# Ten requests with one key at the same time through three entry hosts.
key=$(new_idempotency_key)
pids=()
for i in $(seq 10); do
  entry=entry-1-$(tr 123 abc <<< $((i % 3 + 1)))
  send_booking "$entry" "$key" '{"visit":"tuesday"}' > "$work/repeat.$i" &
  pids+=($!)
done
wait "${pids[@]}"
check "one of ten repeats ran" test "$(count_bookings booking-1)" = $((start + 1))
has_final_response () {
  send_booking entry-1-c "$key" '{"visit":"tuesday"}' | grep -q '^HTTP/1.1 201'
}
check "a later repeat gets the response" wait_for 10 has_final_response
check "the later repeat runs nothing" test "$(count_bookings booking-1)" = $((start + 1))
check "the key with another body is rejected" grep -q '"code":3020' \
  <<< "$(send_booking entry-1-b "$key" '{"visit":"friday"}')"

# Responses of the platform are lost after its writes took effect.
for i in 1 2 3; do
  set_platform_fault '{"lose_answers":1}'
  key=$(new_idempotency_key)
  before=$(count_bookings booking-1)
  first=$(send_booking entry-1-a "$key" '{"visit":"lost"}')
  second=$(send_booking entry-1-b "$key" '{"visit":"lost"}')
  ran=$(($(count_bookings booking-1) - before))
  check "the booking ran at most once" test "$ran" -le 1
  if grep -q '"outcome":"not-run"' <<< "$first" \
    && ! grep -q '^HTTP/1.1 201' <<< "$second"; then
    check "a booking reported as not run did not run" test "$ran" = 0
  fi
done

# The first entry host dies while the call runs.
send_slow_booking () {
  curl -si --max-time 20 -X POST \
    "$(fleet_callers_url "$1")/v1/services/slow-app/bookings" \
    -H "Authorization: Bearer $credential" -H "Idempotency-Key: $2" \
    -d '{"visit":"slow"}'
}
key=$(new_idempotency_key)
send_slow_booking entry-1-c "$key" > "$work/slow.first" &
caller=$!
has_slow_booking_run () { [ "$(fetch_journal slow-booking | grep -c bookings)" -ge 1 ]; }
has_claim () { curl -sf "http://$platform/v1/list?prefix=claims/" | grep -q claims/; }
check "the claim is written" wait_for 10 has_claim
sleep 0.5
kill -KILL "$(cat "$work/entry-1-c.pid")"
wait "$caller" || true
response=$(send_slow_booking entry-1-a "$key")
check "the repeat gets the outcome unknown" \
  grep -q '"outcome":"unknown"' <<< "$response"
check "the repeat gets the code for a claim in progress" \
  grep -q '"code":3021' <<< "$response"
check "the slow booking ran at most once" test "$(count_bookings slow-booking)" -le 1

check "a call without a key is rejected" grep -q '"code":3018' <<< "$(curl -s \
  -X POST "$(fleet_callers_url entry-1-a)/v1/services/booking-app/bookings" \
  -H "Authorization: Bearer $credential" -d '{}')"
check "an expired key is rejected" grep -q '"code":3019' \
  <<< "$(send_booking entry-1-a 017f22e2-79b0-7cc3-98c4-dc0c0c07398f '{}')"
