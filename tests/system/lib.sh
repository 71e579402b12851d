# Library of the system tests: a fleet on loopback, requests, and checks.
# Source it with the build directory as the first argument of the test.
set -euo pipefail
build=$1
work=$(mktemp -d)
entries=()
. scripts/fleet.sh

finish () {
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
trap finish EXIT

# Fails the test unless the command succeeds: check TEXT COMMAND...
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

# write_sheet FILE GROUPS SPAN [VERSION]: a sheet for the data centres that
# were started; school-2 may be served in the last one only.
write_sheet () {
  local hash
  hash=$(printf %s "$credential" | sha256sum | cut -d' ' -f1)
  cat > "$1" << CSV
kind,name,model,version,adapters,span,count,data_centres,domains,hosts,customers,credential_sha256,weight,rate,in_flight,non_idempotent
customer,school-1,,,,,,$centres,,,,$hash,10,0,0,
customer,school-2,,,,,,${centres##*;},,,,$(printf %s other | sha256sum | cut -d' ' -f1),10,0,0,
model,draft-llm,,${4:-v1},,,,,,,,,,,,
group,quotes,draft-llm,,,$3,$2,$centres,,,,,,,,
service,booking-app,,,,,,$centres,,,,,,,,*
end,,,,,,5,,,,,,,,,
CSV
}

# One data centre: start_data_centre N ENGINES [engine option...].
start_data_centre () {
  local n=$1 count=$2
  shift 2
  centres=${centres:+$centres;}casa-$n
  fleet_engines "engines-$n" "casa-$n" "fabric-$n" \
    "$(seq -s, -f "e$n-%g" "$count")" "$@"
  fleet_engines "booking-$n" "casa-$n" '' "b$n-1" --service=booking-app
}

start_entries () {
  local host
  for host in "$@"; do
    fleet_daemon "$host" "casa-$(cut -d- -f2 <<< "$host")"
  done
}

# A UUIDv7 of the present time.
new_key () {
  local random stamp
  random=$(cat /proc/sys/kernel/random/uuid)
  stamp=$(printf '%012x' "$(date +%s%3N)")
  echo "${stamp:0:8}-${stamp:8:4}-7${random:15:3}-${random:19}"
}

# generate ENTRY PROMPT TOKENS [curl option...]: a streamed generation.
generate () {
  local entry=$1 prompt=$2 tokens=$3
  shift 3
  curl -sN --max-time 60 -X POST "$(callers "$entry")/v1/completions" \
    -H "Authorization: Bearer $credential" "$@" \
    -d "{\"model\":\"draft-llm\",\"prompt\":\"$prompt\",\"max_tokens\":$tokens,\"stream\":true}"
}

answers () {
  generate "$1" "is there anyone" 1 | stream_text > /dev/null
}

# The text of a whole stream; fails if it did not end with [DONE].
stream_text () {
  local stream
  stream=$(cat)
  [ "$(grep -v '^$' <<< "$stream" | tail -1)" = 'data: [DONE]' ] || return 1
  grep -o '"text":"[^"]*"' <<< "$stream" | cut -d'"' -f4 | tr -d '\n'
}

# book ENTRY KEY BODY [curl option...]: prints headers and body.
book () {
  local entry=$1 key=$2 body=$3
  shift 3
  curl -si --max-time 60 -X POST \
    "$(callers "$entry")/v1/services/booking-app/bookings" \
    -H "Authorization: Bearer $credential" -H "Idempotency-Key: $key" \
    "$@" -d "$body" | tr -d '\r'
}

# journal NAME: what the engines or services of a process ran.
journal () {
  curl -sf "http://127.0.0.1:$(cat "$work/$1.control")/control/journal"
}

# engine_fault NAME JSON
engine_fault () {
  curl -sf -X POST -o /dev/null -d "$2" \
    "http://127.0.0.1:$(cat "$work/$1.control")/control/fault"
}

platform_fault () {
  curl -sf -X POST -o /dev/null -d "$1" "http://$platform/control/fault"
}

# cut ENTRY JSON: test setting that cuts an entry host off.
cut_entry () {
  curl -sf -X POST -o /dev/null -d "$2" "$(admin "$1")/cut"
}

# field ENTRY NAME: the first value of a member of the status.
status_field () {
  curl -sf "$(admin "$1")/status" | grep -o "\"$2\":[^,}]*" | head -1 \
    | cut -d: -f2- | tr -d '"{'
}

sheet_number_is () {
  [ "$(curl -sf "$(admin "$1")/status" \
    | sed 's/.*"sheet":{"number":\([0-9]*\).*/\1/')" = "$2" ]
}

apply_sheet () {
  operator sheet apply "$1"
}

# start_load NAME [option...]: a recorded load on all entry hosts.  Customer
# school-1 may be served everywhere, school-2 in the last data centre only.
start_load () {
  local name=$1
  shift
  : > "$work/$name.record"
  fleet_spawn "$name" "$build/tests/standin/standin-load" \
    --ports "$(cat "$work"/entry-*.callers | paste -sd,)" \
    --customers "school-1:$credential:3,school-2:other:1" \
    --model draft-llm --service booking-app \
    --record "$work/$name.record" "$@"
}

load_ended () {
  ! kill -0 "$(cat "$work/$1.pid")" 2>/dev/null
}

# group_member ENTRY: group, generation and last member of a serving group.
group_member () {
  curl -sf "$(admin "$1")/status" | grep -o \
    '"id":"[^"]*","spec"[^[]*"serving":"serving","members":\[[^]]*\]' \
    | head -1 | sed 's/"id":"\([^"]*\)".*"generation":\([0-9]*\),.*"host":"\([^"]*\)".*/\1 \2 \3/'
}

# absent NAME HOST GROUP GENERATION: from now on the group may not run.
absent () {
  printf '{"host":"%s","group":"%s","generation":%s,"from_ms":%s,"to_ms":%s}\n' \
    "$2" "$3" "$4" "$(journal "$1" | sed 's/.*"now_ms":\([0-9]*\).*/\1/')" \
    9007199254740991 >> "$work/absent.jsonl"
}

# checked NAME: standin-check of a recorded load and all journals.
checked () {
  local file name options=()
  for file in "$work"/*.control; do
    name=$(basename "$file" .control)
    journal "$name" > "$work/$name.journal" || return 2
    options+=(--journal "$work/$name.journal")
  done
  [ ! -f "$work/absent.jsonl" ] || options+=(--absent "$work/absent.jsonl")
  "$build/tests/standin/standin-check" --record "$work/$1.record" \
    --hosts "$work/hosts.jsonl" "${options[@]}" \
    --allow "school-1=$centres" --allow "school-2=${centres##*;}"
}
