# Tests the path of a request: after a sheet is applied, groups serve streamed
# and unstreamed generations, and a rejection names the outcome of the request.
. tests/system/lib.sh

fleet_start_platform
start_data_centre 1 4
start_data_centre 2 4
fleet_publish_hosts
start_entries entry-1-a entry-1-b entry-2-a
write_sheet "$work/sheet.csv" 4 2
check "the sheet is applied" apply_sheet "$work/sheet.csv"
check "casa-1 serves" wait_for 30 fleet_has_serving_groups entry-1-a 2
check "casa-2 serves" wait_for 30 fleet_has_serving_groups entry-2-a 2

for host in entry-1-a entry-1-b entry-2-a; do
  check "$host serves a generation" wait_for 10 serves_generation "$host"
done

text_1=$(stream_generation entry-1-a "Quote for 12 boards" 8 | read_complete_stream)
text_2=$(stream_generation entry-2-a "Quote for 12 boards" 8 | read_complete_stream)
check "a stream has text" test -n "$text_1"
check "a prompt gives the same text in both data centres" test "$text_1" = "$text_2"

unstreamed=$(curl -sf -X POST "$(fleet_callers_url entry-1-b)/v1/completions" \
  -H "Authorization: Bearer $credential" \
  -d '{"model":"draft-llm","prompt":"Quote for 12 boards","max_tokens":8}' \
  | grep -o '"text": *"[^"]*"' | cut -d'"' -f4)
check "an unstreamed response has the same text" test "$unstreamed" = "$text_1"

request_completion () {
  curl -s -X POST "$(fleet_callers_url entry-1-a)/v1/completions" "$@"
}
forbidden=$(request_completion -H 'Authorization: Bearer other' \
  -d '{"model":"draft-llm","prompt":"secret reading","max_tokens":1}')
check "a request in a forbidden data centre is rejected" \
  grep -q '"code":3004' <<< "$forbidden"
check "the rejection says that the request was not run" \
  grep -q '"outcome":"not-run"' <<< "$forbidden"
check "the rejection names an allowed data centre" grep -q casa-2 <<< "$forbidden"
check "no log contains the request body" \
  bash -c "! grep -rq 'secret reading' '$work'/*.log"
check "no engine received the request" \
  bash -c "! grep -q school-2 <<< '$(fetch_journal engines-1)'"
check "an unknown credential is rejected" \
  grep -q '"code":3003' <<< "$(request_completion -H 'Authorization: Bearer x' -d '{}')"
check "an unknown model is rejected" grep -q '"code":3006' <<< "$(request_completion \
  -H "Authorization: Bearer $credential" \
  -d '{"model":"none","prompt":"p","max_tokens":1}')"
check "invalid JSON is rejected" grep -q '"code":3001' <<< "$(request_completion \
  -H "Authorization: Bearer $credential" -d '{"model":')"
