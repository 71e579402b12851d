# standin-check reports each violated property, and gives no verdict without
# input.  Guards against a checker that accepts every input.
set -euo pipefail
check_program=$1/tests/standin/standin-check
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
checks=0

# expect_result STATUS TEXT: runs the checker on the files and compares its exit
# status and output.
expect_result () {
  local status=0
  "$check_program" --record "$work/record" --journal "$work/journal" \
    --hosts "$work/hosts" --allow 'small=casa-1' --allow 'large=casa-1;casa-2' \
    --absent "$work/absent" > "$work/out" 2>&1 || status=$?
  if [ "$status" -ne "$1" ] || ! grep -q "$2" "$work/out"; then
    echo "FAILED: expected status $1 and $2, saw $status:" >&2
    cat "$work/out" >&2
    exit 1
  fi
  checks=$((checks + 1))
}
# add_request ID [MEMBERS]: MEMBERS are JSON members that replace the defaults.
add_request () {
  printf '{"customer":"large","request_id":"%s","idempotency_key":"","kind":"completion","model":"m","prompt":"p","max_tokens":3,"status":200,"code":0,"outcome":"done","ended":true,"replayed":false,"text":"%s"%s}\n' \
    "$1" "$full_text" "${2:+,$2}" >> "$work/record"
}
add_booking () {
  add_request "$1" "\"kind\":\"booking\",\"idempotency_key\":\"$2\",\"status\":201,\"text\":\"{\\\"serial\\\":$3}\"${4:+,$4}"
}
# add_run HOST ID [MEMBERS]: adds a run of the request to the journal.
add_run () {
  runs+=("{\"host\":\"$1\",\"request_id\":\"$2.u.1\",\"at_ms\":5000${3:+,$3}}")
  write_journal
}
write_journal () {
  local IFS=,
  echo "{\"journal\":[${runs[*]}]}" > "$work/journal"
}
# Empties the record, the journal and the absences.
start_case () {
  runs=()
  : > "$work/record"
  : > "$work/absent"
  write_journal
}
cat > "$work/hosts" << 'JSON'
{"id":"e1","data_centre":"casa-1"}
{"id":"e2","data_centre":"casa-2"}
JSON
# Tokens of model m: the first three of prompt p, and one of prompt q.
p0=' t70a37d97' p1=' te13551da' p2=' t45b51c1d' q0=' te6708a7e'
full_text=$p0$p1$p2

start_case
expect_result 2 'no verdict'
add_request a
expect_result 2 'no verdict'
add_run e1 a
expect_result 0 'faults=0'
rm "$work/journal"
expect_result 2 'cannot read'
start_case; add_request a; add_run e1 a; echo '{"request_id"' >> "$work/record"
expect_result 2 'cannot read'
start_case; add_request a '"customer":"nobody"'; add_run e1 a
expect_result 2 'is not known'

while IFS='|' read -r property text members; do
  start_case
  add_request other "\"prompt\":\"q\",\"text\":\"\",\"ended\":false,\"outcome\":\"unknown\""
  add_request a "\"text\":\"$text\"${members:+,$members}"
  add_run e1 a
  expect_result 1 "property=$property request_id=a"
done << CASES
token-wrong|$p0 t00000000$p2
token-missing|$p0$p2
token-doubled|$p0$p1$p1$p2
token-of-another-request|$p0$q0$p2
looks-whole-but-is-not|$p0$p1
error-looks-whole|$full_text|"code":3013
not-run-but-ran||"status":503,"ended":false,"outcome":"not-run"
CASES
start_case; add_request a '"text":"'"$p0"'","ended":false,"outcome":"unknown"'; add_run e1 a
expect_result 0 'faults=0'
start_case; add_request a; add_run e1 b
expect_result 1 property=answer-without-run
start_case; add_request a '"customer":"small"'; add_run e2 a
expect_result 1 property=forbidden-place

start_case; add_booking a k1 7; add_run e1 a '"idempotency_key":"k1","serial":7'
add_booking b k1 7 '"replayed":true'
expect_result 0 'faults=0'
add_run e2 b '"idempotency_key":"k1","serial":3'
expect_result 1 property=ran-more-than-once
start_case; add_booking a k1 7; add_run e1 a '"idempotency_key":"k1","serial":7'
add_booking b k1 7 '"replayed":true,"status":200'
expect_result 1 property=replay-differs
start_case; add_booking a k1 8; add_run e1 a '"idempotency_key":"k1","serial":7'
expect_result 1 property=answer-of-another-request
start_case; add_booking a k1 7; add_booking b k1 7; add_run e1 a '"idempotency_key":"k1","serial":7'
expect_result 1 property=answered-twice-without-replay

start_case; add_request a; add_run e1 a '"group":"g","generation":4'
echo '{"host":"e9","group":"g","generation":4,"from_ms":1000,"to_ms":9000}' > "$work/absent"
expect_result 1 property=ran-on-absent-or-leaving
for interval in '"generation":3,"from_ms":1000,"to_ms":9000' \
  '"generation":4,"from_ms":3500,"to_ms":9000' \
  '"generation":4,"from_ms":1000,"to_ms":4000'; do
  echo "{\"host\":\"e9\",\"group\":\"g\",$interval}" > "$work/absent"
  expect_result 0 'faults=0'
done
echo "$checks checks passed"
