# The whole path: a sheet, groups, streamed and whole answers, refusals that
# say what happened to the request.
. tests/system/lib.sh

fleet_platform
start_data_centre 1 4
start_data_centre 2 4
fleet_publish_hosts
start_entries entry-1-a entry-1-b entry-2-a
write_sheet "$work/sheet.csv" 4 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "casa-1 serves" wait_for 30 fleet_serving entry-1-a 2
check "casa-2 serves" wait_for 30 fleet_serving entry-2-a 2

for host in entry-1-a entry-1-b entry-2-a; do
  check "$host answers" wait_for 10 answers "$host"
done

one=$(generate entry-1-a "Quote for 12 boards" 8 | stream_text)
two=$(generate entry-2-a "Quote for 12 boards" 8 | stream_text)
check "a stream has its text" test -n "$one"
check "the same prompt gives the same text everywhere" test "$one" = "$two"

whole=$(curl -sf -X POST "$(callers entry-1-b)/v1/completions" \
  -H "Authorization: Bearer $credential" \
  -d '{"model":"draft-llm","prompt":"Quote for 12 boards","max_tokens":8}' \
  | grep -o '"text": *"[^"]*"' | cut -d'"' -f4)
check "an unstreamed answer is the same" test "$whole" = "$one"

refusal () {
  curl -s -X POST "$(callers entry-1-a)/v1/completions" "$@"
}
wrong_place=$(refusal -H 'Authorization: Bearer other' \
  -d '{"model":"draft-llm","prompt":"secret reading","max_tokens":1}')
check "the wrong place is refused" grep -q '"code":3004' <<< "$wrong_place"
check "as not run" grep -q '"outcome":"not-run"' <<< "$wrong_place"
check "and names a place that may" grep -q casa-2 <<< "$wrong_place"
check "its body is in no log" \
  bash -c "! grep -rq 'secret reading' '$work'/*.log"
check "and no engine saw it" \
  bash -c "! grep -q school-2 <<< '$(journal engines-1)'"
check "an unknown credential is refused" \
  grep -q '"code":3003' <<< "$(refusal -H 'Authorization: Bearer x' -d '{}')"
check "an unknown model is refused" grep -q '"code":3006' <<< "$(refusal \
  -H "Authorization: Bearer $credential" \
  -d '{"model":"none","prompt":"p","max_tokens":1}')"
check "bad JSON is refused" grep -q '"code":3001' <<< "$(refusal \
  -H "Authorization: Bearer $credential" -d '{"model":')"
