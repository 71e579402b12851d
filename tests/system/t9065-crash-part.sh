# Requests that are not alike share one part that crashes every endpoint which
# runs them.  They are quarantined by that part, on every entry host and also
# after an entry host was replaced; requests that share other parts are served.
. tests/system/lib.sh

fleet_start_platform
start_data_centre 1 12
fleet_publish_hosts
start_entries entry-1-a entry-1-b entry-1-c
write_sheet "$work/sheet.csv" 6 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "six groups serve" wait_for 30 fleet_has_serving_groups entry-1-a 6
for host in entry-1-a entry-1-b entry-1-c; do
  check "$host serves a generation" wait_for 10 serves_generation "$host"
done

set_crash_word () {
  for i in $(seq 12); do
    set_engine_fault engines-1 "{\"host\":\"e1-$i\",\"crash_word\":\"$1\"}"
  done
}
send_poison () { # ENTRY N
  stream_generation "$1" "shared words\n\nread POISON aloud\n\nquestion $2" 4
}
is_refused () { # ENTRY N
  grep -q '"code":3017' <<< "$(send_poison "$1" "$2")"
}
serves_shared_words () {
  stream_generation "$1" "shared words\n\nquestion $2" 4 \
    | read_complete_stream > /dev/null
}
count_crashes () {
  fetch_journal engines-1 | grep -o '"crashed": *true' | wc -l
}

set_crash_word POISON
n=0
for round in 1 2 3 4; do
  for host in entry-1-a entry-1-b entry-1-c; do
    n=$((n + 1))
    send_poison "$host" "$n" > "$work/poison.out" || true
  done
done
check "an endpoint crashed" test "$(count_crashes)" -ge 1
check "at most five endpoints crashed" test "$(count_crashes)" -le 5
for host in entry-1-a entry-1-b entry-1-c; do
  n=$((n + 1))
  check "$host refuses the part" wait_for 10 is_refused "$host" "$n"
  check "$host serves the other parts" wait_for 20 serves_shared_words "$host" "$n"
done

crashes=$(count_crashes)
kill -KILL "$(cat "$work/entry-1-b.pid")"
start_entries entry-1-b
# Asked for the part as soon as it takes requests.
check "the new host refuses the part at once" \
  wait_for 20 is_refused entry-1-b 99
check "the new host serves" wait_for 20 serves_generation entry-1-b
check "the new host refuses the part" wait_for 5 is_refused entry-1-b 100
check "the new host serves the other parts" \
  wait_for 20 serves_shared_words entry-1-b 100
check "no more endpoints crashed" test "$(count_crashes)" -le "$crashes"
set_crash_word ""
