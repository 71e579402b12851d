# Library for system tests: starts a fleet on loopback, sends requests, and
# checks results.  A test gets the build directory as its first argument.
set -euo pipefail
build=$1
work=$(mktemp -d)
entries=()
. scripts/fleet.sh

# Stops the fleet; fails the test and shows the logs after an error or if no
# check ran.
report_and_clean_up () {
  local status=$?
  fleet_stop
  if [ "$status" -ne 0 ] || [ "${checks:-0}" -eq 0 ]; then
    echo "FAILED: status $status, ${checks:-0} checks; logs:"
    for log in "$work"/*.log; do
      echo "--- $log"
      tail -n 15 "$log" | cut -c1-400
    done
    rm -rf "$work"
    exit 1
  fi
  echo "$checks checks passed"
  rm -rf "$work"
}
trap report_and_clean_up EXIT

# check TEXT COMMAND...: fails the test unless the command succeeds.
checks=0
check () {
  local text=$1
  shift
  if ! "$@"; then
    echo "check failed: $text: $*" >&2
    exit 1
  fi
  checks=$((checks + 1))
}

credential=secret-of-school-1

# write_sheet FILE GROUPS SPAN [VERSION]: writes a sheet for the started data
# centres.  Requests of school-2 may run only in the last data centre.
write_sheet () {
  local hash
  hash=$(printf %s "$credential" | sha256sum | cut -d' ' -f1)
  cat > "$1" << CSV
kind,name,model,version,adapters,span,count,data_centres,domains,hosts,customers,credential_sha256,weight,rate,in_flight,non_idempotent
customer,school-1,,,,,,$data_centres,,,,$hash,10,0,0,
customer,school-2,,,,,,${data_centres##*;},,,,$(printf %s other | sha256sum | cut -d' ' -f1),10,0,0,
model,draft-llm,,${4:-v1},,,,,,,,,,,,
group,quotes,draft-llm,,,$3,$2,$data_centres,,,,,,,,
service,booking-app,,,,,,$data_centres,,,,,,,,*
end,,,,,,5,,,,,,,,,
CSV
}

# start_data_centre N ENGINES [engine option...]: starts the engines and the
# booking service of data centre casa-N.
start_data_centre () {
  local n=$1 count=$2
  shift 2
  data_centres=${data_centres:+$data_centres;}casa-$n
  fleet_start_engines "engines-$n" "casa-$n" "fabric-$n" \
    "$(seq -s, -f "e$n-%g" "$count")" "$@"
  fleet_start_engines "booking-$n" "casa-$n" '' "b$n-1" --service=booking-app
}

# start_entries HOST...: starts entry hosts; entry-N-x belongs to casa-N.
start_entries () {
  local host
  for host in "$@"; do
    fleet_start_entry "$host" "casa-$(cut -d- -f2 <<< "$host")"
  done
}

# Prints a UUIDv7 for the current time.
new_idempotency_key () {
  local random stamp
  random=$(cat /proc/sys/kernel/random/uuid)
  stamp=$(printf '%012x' "$(date +%s%3N)")
  echo "${stamp:0:8}-${stamp:8:4}-7${random:15:3}-${random:19}"
}

# stream_generation ENTRY PROMPT TOKENS [curl option...]: prints the events of a
# streamed generation.
stream_generation () {
  local entry=$1 prompt=$2 tokens=$3
  shift 3
  curl -sN --max-time 60 -X POST "$(fleet_callers_url "$entry")/v1/completions" \
    -H "Authorization: Bearer $credential" "$@" \
    -d "{\"model\":\"draft-llm\",\"prompt\":\"$prompt\",\"max_tokens\":$tokens,\"stream\":true}"
}

# serves_generation ENTRY: true if a streamed generation completes.
serves_generation () {
  stream_generation "$1" "is there anyone" 1 | read_complete_stream > /dev/null
}

# Reads a stream and prints its text; fails unless it ends with [DONE].
read_complete_stream () {
  local stream
  stream=$(cat)
  [ "$(grep -v '^$' <<< "$stream" | tail -1)" = 'data: [DONE]' ] || return 1
  grep -o '"text":"[^"]*"' <<< "$stream" | cut -d'"' -f4 | tr -d '\n'
}

# send_booking ENTRY KEY BODY [curl option...]: prints response headers and body.
send_booking () {
  local entry=$1 key=$2 body=$3
  shift 3
  curl -si --max-time 60 -X POST \
    "$(fleet_callers_url "$entry")/v1/services/booking-app/bookings" \
    -H "Authorization: Bearer $credential" -H "Idempotency-Key: $key" \
    "$@" -d "$body" | tr -d '\r'
}

# fetch_journal NAME: prints the journal of requests that the hosts of a
# standin-engine process ran.
fetch_journal () {
  curl -sf "http://127.0.0.1:$(cat "$work/$1.control")/control/journal"
}

# set_engine_fault NAME JSON: sets a fault of a standin-engine process.
set_engine_fault () {
  curl -sf -X POST -o /dev/null -d "$2" \
    "http://127.0.0.1:$(cat "$work/$1.control")/control/fault"
}

# set_platform_fault JSON: sets a fault of standin-platform.
set_platform_fault () {
  curl -sf -X POST -o /dev/null -d "$1" "http://$platform/control/fault"
}

# partition_entry ENTRY JSON: partitions an entry host from the platform or from
# its peers, or ends the partition.
partition_entry () {
  curl -sf -X POST -o /dev/null -d "$2" "$(fleet_admin_url "$1")/cut"
}

# status_field ENTRY NAME: prints the first value of this member of the status.
status_field () {
  curl -sf "$(fleet_admin_url "$1")/status" | grep -o "\"$2\":[^,}]*" | head -1 \
    | cut -d: -f2- | tr -d '"{'
}

# has_sheet_number ENTRY NUMBER: true if this sheet is in force on the host.
has_sheet_number () {
  [ "$(curl -sf "$(fleet_admin_url "$1")/status" \
    | sed 's/.*"sheet":{"number":\([0-9]*\).*/\1/')" = "$2" ]
}

apply_sheet () {
  run_operator sheet apply "$1"
}

# start_recorded_load NAME [option...]: starts a recorded load on all entry
# hosts.  Requests of customer school-1 may run in every data centre, those of
# school-2 only in the last one.
start_recorded_load () {
  local name=$1
  shift
  : > "$work/$name.record"
  fleet_spawn "$name" "$build/tests/standin/standin-load" \
    --ports "$(cat "$work"/entry-*.callers | paste -sd,)" \
    --customers "school-1:$credential:3,school-2:other:1" \
    --model draft-llm --service booking-app \
    --record "$work/$name.record" "$@"
}

has_load_ended () {
  ! kill -0 "$(cat "$work/$1.pid")" 2>/dev/null
}

# find_serving_group ENTRY: prints group, generation and last member of a
# serving group.
find_serving_group () {
  curl -sf "$(fleet_admin_url "$1")/status" | grep -o \
    '"id":"[^"]*","spec"[^[]*"serving":"serving","members":\[[^]]*\]' \
    | head -1 | sed 's/"id":"\([^"]*\)".*"generation":\([0-9]*\),.*"host":"\([^"]*\)".*/\1 \2 \3/'
}

# record_absence NAME HOST GROUP GENERATION: tells standin-check that this
# generation of the group, or the host if GROUP is empty, may run no request from
# now on.  The host belongs to the standin-engine NAME, whose clock is read.
record_absence () {
  printf '{"host":"%s","group":"%s","generation":%s,"from_ms":%s,"to_ms":%s}\n' \
    "$2" "$3" "$4" "$(fetch_journal "$1" | sed 's/.*"now_ms":\([0-9]*\).*/\1/')" \
    9007199254740991 >> "$work/absent.jsonl"
}

# check_recorded_load NAME: runs standin-check on a recorded load and all
# journals.
check_recorded_load () {
  local file name options=()
  for file in "$work"/*.control; do
    name=$(basename "$file" .control)
    fetch_journal "$name" > "$work/$name.journal" || return 2
    options+=(--journal "$work/$name.journal")
  done
  [ ! -f "$work/absent.jsonl" ] || options+=(--absent "$work/absent.jsonl")
  "$build/tests/standin/standin-check" --record "$work/$1.record" \
    --hosts "$work/hosts.jsonl" "${options[@]}" \
    --allow "school-1=$data_centres" --allow "school-2=${data_centres##*;}"
}
