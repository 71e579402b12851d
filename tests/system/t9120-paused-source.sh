# The entry hosts that hold the watch are paused while a sheet is applied: the
# others still have it within 3 s of its being told by anyone (INV-8), and
# paused ones catch up.
. tests/system/lib.sh

fleet_platform
start_data_centre 1 2
fleet_publish_hosts
start_entries entry-1-a entry-1-b entry-1-c entry-1-d entry-1-e
write_sheet "$work/sheet.csv" 1 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
hosts="entry-1-a entry-1-b entry-1-c entry-1-d entry-1-e"
for host in $hosts; do
  check "it is in force on $host" wait_for 10 sheet_number_is "$host" 1
done

# Those that adopted it from the platform hold the watch.
watchers=$(grep -l 'config-adopted object=sheet.*source=platform' \
  "$work"/entry-*.log | xargs -n 1 basename | sed 's/\.log//')
check "there are watchers" test -n "$watchers"
one=$(head -1 <<< "$watchers")
kill -STOP "$(cat "$work/$one.pid")"
entries=()
for host in $hosts; do
  [ "$host" = "$one" ] || entries+=(--entry "127.0.0.1:$(cat "$work/$host.admin")")
done
write_sheet "$work/next.csv" 1 1
operator sheet apply "$work/next.csv" > "$work/apply.out" 2>&1 || true
for host in $hosts; do
  [ "$host" = "$one" ] && continue
  check "$host has the new sheet" wait_for 20 sheet_number_is "$host" 2
done
kill -CONT "$(cat "$work/$one.pid")"
check "the paused one catches up" wait_for 20 sheet_number_is "$one" 2
