# A booking runs at most once (INV-5), and "not run" is said only when it is
# certain (INV-4): repeats through other entry hosts, at the same moment, after
# lost answers of the platform, and after the first entry host died.
. tests/system/lib.sh

fleet_platform
start_data_centre 1 2
fleet_engines slow-booking casa-1 '' b1-9 --service=slow-app --call-ms=3000
fleet_publish_hosts
start_entries entry-1-a entry-1-b entry-1-c
write_sheet "$work/sheet.csv" 1 2
sed -i '/^end/d' "$work/sheet.csv"
printf '%s\n' 'service,slow-app,,,,,,casa-1,,,,,,,,*' 'end,,,,,,6,,,,,,,,,' \
  >> "$work/sheet.csv"
check "the sheet is applied" apply_sheet "$work/sheet.csv"
booked () {
  journal "$1" | grep -o '"path": *"/bookings"' | wc -l
}
works () {
  book entry-1-a "$(new_key)" '{"warm":"up"}' | grep -q '^HTTP/1.1 201'
}
check "bookings work" wait_for 20 works
start=$(booked booking-1)

# Ten repeats at the same moment through three entry hosts.
key=$(new_key)
pids=()
for i in $(seq 10); do
  entry=entry-1-$(tr 123 abc <<< $((i % 3 + 1)))
  book "$entry" "$key" '{"visit":"tuesday"}' > "$work/repeat.$i" &
  pids+=($!)
done
wait "${pids[@]}"
check "one of ten repeats ran" test "$(booked booking-1)" = $((start + 1))
final () {
  book entry-1-c "$key" '{"visit":"tuesday"}' | grep -q '^HTTP/1.1 201'
}
check "a later repeat gets the answer" wait_for 10 final
check "and runs nothing" test "$(booked booking-1)" = $((start + 1))
check "another body is refused" grep -q '"code":3020' \
  <<< "$(book entry-1-b "$key" '{"visit":"friday"}')"

# Answers of the platform that are lost after the write took effect.
for i in 1 2 3; do
  platform_fault '{"lose_answers":1}'
  key=$(new_key)
  before=$(booked booking-1)
  first=$(book entry-1-a "$key" '{"visit":"lost"}')
  second=$(book entry-1-b "$key" '{"visit":"lost"}')
  ran=$(($(booked booking-1) - before))
  check "it ran at most once" test "$ran" -le 1
  if grep -q '"outcome":"not-run"' <<< "$first" \
    && ! grep -q '^HTTP/1.1 201' <<< "$second"; then
    check "not run means not run" test "$ran" = 0
  fi
done

# The first entry host dies while the call runs.
slow () {
  curl -si --max-time 20 -X POST \
    "$(callers "$1")/v1/services/slow-app/bookings" \
    -H "Authorization: Bearer $credential" -H "Idempotency-Key: $2" \
    -d '{"visit":"slow"}'
}
key=$(new_key)
slow entry-1-c "$key" > "$work/slow.first" &
caller=$!
taken () { [ "$(journal slow-booking | grep -c bookings)" -ge 1 ]; }
claimed () { curl -sf "http://$platform/v1/list?prefix=claims/" | grep -q claims/; }
check "the claim is written" wait_for 10 claimed
sleep 0.5
kill -KILL "$(cat "$work/entry-1-c.pid")"
wait "$caller" || true
answer=$(slow entry-1-a "$key")
check "the repeat is told that the outcome is unknown" \
  grep -q '"outcome":"unknown"' <<< "$answer"
check "as in progress" grep -q '"code":3021' <<< "$answer"
check "and it ran at most once" test "$(booked slow-booking)" -le 1

check "a call without a key is refused" grep -q '"code":3018' <<< "$(curl -s \
  -X POST "$(callers entry-1-a)/v1/services/booking-app/bookings" \
  -H "Authorization: Bearer $credential" -d '{}')"
check "an old key is refused as unknown" grep -q '"code":3019' \
  <<< "$(book entry-1-a 017f22e2-79b0-7cc3-98c4-dc0c0c07398f '{}')"
