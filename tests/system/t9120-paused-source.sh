# An entry host that watches the platform is paused while a sheet is applied: the
# others still adopt the sheet within 3 s after any host announced it (INV-8),
# and the paused host adopts it after it resumes.
. tests/system/lib.sh

fleet_start_platform
start_data_centre 1 2
fleet_publish_hosts
start_entries entry-1-a entry-1-b entry-1-c entry-1-d entry-1-e
write_sheet "$work/sheet.csv" 1 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
hosts="entry-1-a entry-1-b entry-1-c entry-1-d entry-1-e"
for host in $hosts; do
  check "the sheet is in force on $host" wait_for 10 has_sheet_number "$host" 1
done

# The hosts that adopted the sheet from the platform watch the platform.
watchers=$(grep -l 'config-adopted object=sheet.*source=platform' \
  "$work"/entry-*.log | xargs -n 1 basename | sed 's/\.log//')
check "an entry host watches the platform" test -n "$watchers"
paused=$(head -1 <<< "$watchers")
kill -STOP "$(cat "$work/$paused.pid")"
entries=()
for host in $hosts; do
  [ "$host" = "$paused" ] || entries+=(--entry "127.0.0.1:$(cat "$work/$host.admin")")
done
write_sheet "$work/next.csv" 1 1
run_operator sheet apply "$work/next.csv" > "$work/apply.out" 2>&1 || true
for host in $hosts; do
  [ "$host" = "$paused" ] && continue
  check "$host has the new sheet" wait_for 20 has_sheet_number "$host" 2
done
kill -CONT "$(cat "$work/$paused.pid")"
check "the paused host adopts the new sheet" wait_for 20 has_sheet_number "$paused" 2
