# The lease holder is paused past its lease: another takes over with a higher
# fencing token, and the old holder does no harm when it wakes.
. tests/system/lib.sh

fleet_platform
start_data_centre 1 5 --ignore-fence
fleet_publish_hosts
start_entries entry-1-a entry-1-b
write_sheet "$work/sheet.csv" 2 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "two groups serve" wait_for 40 fleet_serving entry-1-a 2
check "entry-1-b sees them" wait_for 40 fleet_serving entry-1-b 2

holder=
for host in entry-1-a entry-1-b; do
  if curl -sf "$(admin "$host")/status" | grep -q '"held":true'; then
    holder=$host
  fi
done
check "one holds the lease" test -n "$holder"
other=entry-1-a
[ "$holder" = entry-1-a ] && other=entry-1-b
fence_of () {
  curl -sf "$(admin "$1")/status" \
    | sed 's/.*"assignment":{"number":[0-9]*,"fence":\([0-9]*\)}.*/\1/'
}
old_fence=$(fence_of "$other")
kill -STOP "$(cat "$work/$holder.pid")"
victim=$(curl -sf "$(admin "$other")/status" \
  | grep -o '"members":\[{"host":"[^"]*"' | head -1 | cut -d'"' -f6)
engine_fault engines-1 "{\"host\":\"$victim\",\"dead\":true}"
taken () { [ "$(fence_of "$other")" -gt "$old_fence" ]; }
check "the other takes over" wait_for 40 taken
check "and repairs the group" wait_for 60 fleet_serving "$other" 2
before=$(curl -sf "$(admin "$other")/status" | sed 's/.*"groups"://; s/"hosts".*//')
kill -CONT "$(cat "$work/$holder.pid")"
caught_up () { [ "$(fence_of "$holder")" = "$(fence_of "$other")" ]; }
check "the old holder learns of it" wait_for 20 caught_up
sees_groups () { fleet_serving "$holder" 2; }
check "and sees the groups" wait_for 20 sees_groups
after=$(curl -sf "$(admin "$other")/status" | sed 's/.*"groups"://; s/"hosts".*//')
check "nothing was changed by it" test "$before" = "$after"
