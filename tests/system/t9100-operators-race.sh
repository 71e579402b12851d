# Operators apply sheets at the same time: each command reports whether its sheet
# was accepted.  After a lost response apply reads the object back.  The number
# of the sheet in force only rises (INV-8).
. tests/system/lib.sh

fleet_start_platform
start_data_centre 1 4
fleet_publish_hosts
start_entries entry-1-a entry-1-b
write_sheet "$work/a.csv" 1 2
write_sheet "$work/b.csv" 2 2
pids=() names=()
for i in 1 2 3 4; do
  file=$work/a.csv
  [ $((i % 2)) = 0 ] && file=$work/b.csv
  (
    code=0
    operator_name=op-$i run_operator sheet apply "$file" > "$work/race.$i" 2>&1 || code=$?
    echo "exit $code" >> "$work/race.$i"
  ) &
  pids+=($!)
done
wait "${pids[@]}"
accepted=$(cat "$work"/race.* | grep -c '^exit 0$' || true)
conflicted=$(cat "$work"/race.* | grep -c '^exit 4$' || true)
check "each command reports its result" test $((accepted + conflicted)) = 4
check "at least one sheet was accepted" test "$accepted" -ge 1
number=$(curl -sf "http://$platform/v1/objects/sheet/current" \
  | grep -o '"number": *[0-9]*' | head -1 | grep -o '[0-9]*')
check "each accepted sheet raised the number by one" test "$number" -le "$accepted"

set_platform_fault '{"lose_answers":1}'
write_sheet "$work/c.csv" 2 1
check "apply succeeds when a response is lost" apply_sheet "$work/c.csv"
check "the sheet is in force" wait_for 10 has_sheet_number entry-1-b $((number + 1))
check "the sheet was accepted once" test "$(curl -sf \
  "http://$platform/v1/objects/sheet/current" | grep -o '"number": *[0-9]*' \
  | head -1 | grep -o '[0-9]*')" = $((number + 1))
check "the history names the operator" grep -q test <<< "$(run_operator sheet history)"

sed '$d' "$work/c.csv" > "$work/truncated.csv"
if run_operator sheet apply "$work/truncated.csv" > "$work/truncated.out" 2>&1; then
  echo "a truncated sheet was accepted" >&2
  exit 1
fi
check "a truncated sheet is rejected with its code" grep -q 2004 "$work/truncated.out"
check "a truncated sheet changes nothing" has_sheet_number entry-1-a $((number + 1))
