# The lease holder is paused until its lease expires: another entry host acquires
# the lease with a higher fencing token, and the old holder changes nothing after
# it resumes.  The engines accept old fencing tokens (--ignore-fence), so they do
# not stop the old holder.
. tests/system/lib.sh

fleet_start_platform
start_data_centre 1 5 --ignore-fence
fleet_publish_hosts
start_entries entry-1-a entry-1-b
write_sheet "$work/sheet.csv" 2 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "two groups serve" wait_for 40 fleet_has_serving_groups entry-1-a 2
check "entry-1-b knows both groups" wait_for 40 fleet_has_serving_groups entry-1-b 2

holder=
for host in entry-1-a entry-1-b; do
  if curl -sf "$(fleet_admin_url "$host")/status" | grep -q '"held":true'; then
    holder=$host
  fi
done
check "an entry host holds the lease" test -n "$holder"
other=entry-1-a
[ "$holder" = entry-1-a ] && other=entry-1-b
get_fence () {
  curl -sf "$(fleet_admin_url "$1")/status" \
    | sed 's/.*"assignment":{"number":[0-9]*,"fence":\([0-9]*\)}.*/\1/'
}
old_fence=$(get_fence "$other")
kill -STOP "$(cat "$work/$holder.pid")"
victim=$(curl -sf "$(fleet_admin_url "$other")/status" \
  | grep -o '"members":\[{"host":"[^"]*"' | head -1 | cut -d'"' -f6)
set_engine_fault engines-1 "{\"host\":\"$victim\",\"dead\":true}"
has_new_fence () { [ "$(get_fence "$other")" -gt "$old_fence" ]; }
check "the other entry host acquires the lease" wait_for 40 has_new_fence
check "the new holder repairs the group" wait_for 60 fleet_has_serving_groups "$other" 2
before=$(curl -sf "$(fleet_admin_url "$other")/status" | sed 's/.*"groups"://; s/"hosts".*//')
kill -CONT "$(cat "$work/$holder.pid")"
has_same_fence () { [ "$(get_fence "$holder")" = "$(get_fence "$other")" ]; }
check "the old holder learns the new fencing token" wait_for 20 has_same_fence
knows_groups () { fleet_has_serving_groups "$holder" 2; }
check "the old holder knows the groups" wait_for 20 knows_groups
after=$(curl -sf "$(fleet_admin_url "$other")/status" | sed 's/.*"groups"://; s/"hosts".*//')
check "the old holder changed no group" test "$before" = "$after"
