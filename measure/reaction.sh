#!/usr/bin/env bash
# Reaction time: until a sheet is in force in three data centres, after a member's death, after an operator's drain
#
# Usage: measure/reaction.sh [APPLY_RUNS] [DEATH_RUNS] [DRAIN_RUNS]
# Starts three data centres with two real daemons as entry hosts each, and
# measures deaths and drains on the groups of two hosts in casa-1.  Baselines:
# for the sheet, one write to the platform and one read of it; for a death, the
# age limit of attestations (2 s) plus one interval of probes (0.5 s) until the
# group must get no new requests, and the load time of the stand-in (0.5 s with
# weights to fetch, 0.2 s without) until the repair.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build/release
apply_runs=${1:-10}
death_runs=${2:-5}
drain_runs=${3:-5}
. scripts/fleet.sh
credential=secret
hash=$(printf %s "$credential" | sha256sum | cut -d' ' -f1)
entry_hosts="entry-1-a entry-1-b entry-2-a entry-2-b entry-3-a entry-3-b"

write_sheet () {
  cat > "$work/sheet.csv" << CSV
kind,name,model,version,adapters,span,count,data_centres,domains,hosts,customers,credential_sha256,weight,rate,in_flight,non_idempotent
customer,school-1,,,,,,casa-1;casa-2;casa-3,,,,$hash,$1,0,0,
model,draft-llm,,v1,,,,,,,,,,,,
group,quotes,draft-llm,,,2,6,casa-1;casa-2;casa-3,,,,,,,,
end,,,,,,3,,,,,,,,,
CSV
}

now_ms () {
  date +%s%3N
}

# Prints the time of a log line, "<PRI>2026-12-04T03:40:00.123Z ...", in ms.
line_ms () {
  date -d "$(sed 's/^<[0-9]*>\([^ ]*\) .*/\1/' <<< "$1")" +%s%3N
}

# Prints when the last entry host adopted an object: adopted_ms OBJECT NUMBER.
adopted_ms () {
  local host line ms last=0
  for host in $entry_hosts; do
    line=$(grep "event=config-adopted object=$1 number=$2 " "$work/$host.log")
    ms=$(line_ms "$line")
    [ "$ms" -gt "$last" ] && last=$ms
  done
  echo "$last"
}

median () {
  sort -n | awk '{ v[NR] = $1 } END { print v[int ((NR + 1) / 2)] }'
}

summary () {
  echo "summary=$1 runs=$(wc -l < "$2") median_ms=$(median < "$2")" \
    "worst_ms=$(sort -n "$2" | tail -1) ${3:+limit_ms=$3}"
}

measure_apply () {
  local i number result baseline_ms applied_ms last_ms
  for i in $(seq "$apply_runs"); do
    write_sheet $((10 + i))
    baseline_ms=$({
      curl -sf -o /dev/null -w '%{time_total}\n' -H 'If-None-Match: *' -d '{}' \
        -X PUT "http://$platform/v1/objects/probe/$i"
      curl -sf -o /dev/null -w '%{time_total}\n' \
        "http://$platform/v1/objects/probe/$i"
    } | awk '{ s += $1 } END { printf "%.0f", 1000 * s }')
    result=$(run_operator --json sheet apply "$work/sheet.csv")
    number=$(grep -o '"number": *[0-9]*' <<< "$result" | head -1 | tr -dc 0-9)
    applied_ms=$(curl -sf "http://$platform/v1/objects/sheet/current" \
      | grep -o '"applied_wall_ms": *[0-9]*' | head -1 | tr -dc 0-9)
    wait_for 20 adopted_by_all "$number"
    last_ms=$(adopted_ms sheet "$number")
    echo "$((last_ms - applied_ms))" >> "$work/apply.in_force"
    grep -o '"waited_ms": *[0-9]*' <<< "$result" | tr -dc '0-9\n' \
      >> "$work/apply.reported"
    echo "$baseline_ms" >> "$work/apply.base"
    echo "part=apply run=$i number=$number in_force_ms=$((last_ms - applied_ms))" \
      "reported_ms=$(tail -1 "$work/apply.reported") write_and_read_ms=$baseline_ms"
  done
  summary apply-in-force "$work/apply.in_force" 3000
  summary apply-reported-by-command "$work/apply.reported" 3000
  summary apply-baseline "$work/apply.base"
}

adopted_by_all () {
  local host
  for host in $entry_hosts; do
    grep -q "event=config-adopted object=sheet number=$1 " "$work/$host.log" \
      || return 1
  done
}

# Prints the group of casa-1 with an index from 0 as "ID LEADER OTHER".
print_group () {
  curl -sf "$(fleet_admin_url entry-1-a)/status" \
    | grep -o '"id": *"quotes[^"]*"[^]]*' | sed -n "$(($1 + 1))p" \
    | awk -F'"' '{ id = $4; n = 0
        for (i = 1; i < NF; i++) if ($i == "host") m[n++] = $(i + 2)
        print id, m[0], m[1] }'
}

# True if both entry hosts of casa-1 see two serving groups without HOST.
is_repaired () {
  local entry status
  for entry in entry-1-a entry-1-b; do
    status=$(curl -sf "$(fleet_admin_url "$entry")/status")
    [ "$(grep -o '"serving":"serving"' <<< "$status" | wc -l)" -ge 2 ] \
      || return 1
    ! grep -q "\"host\":\"$1\",\"present\"" <<< "$status" || return 1
  done
}

start_load () {
  local entry
  load_pids=()
  for entry in entry-1-a entry-1-b; do
    "$build/tests/standin/standin-load" --ports="$(cat "$work/$entry.callers")" \
      --customers="school-1:$credential:1" --model=draft-llm --tokens=1 \
      --rate=100 --count=4000 --seconds="$1" --seed="$2" --drain-ms=5000 \
      > "$work/$entry.load" &
    load_pids+=($!)
  done
}

stop_load () {
  local pid
  for pid in "${load_pids[@]}"; do
    kill "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
}

# Prints the arrival times at the entry host, in ms and sorted, of the requests
# that HOST completed in one attempt: request_starts HOST.
request_starts () {
  local day
  day=$(date -u -d "$(date -u +%F)" +%s)
  cat "$work/entry-1-a.log" "$work/entry-1-b.log" \
    | grep "event=request-end .* attempts=1 endpoint=$1 " \
    | sed 's/^<[0-9]*>[^T]*T\([0-9]*\):\([0-9]*\):\([0-9.]*\)Z.* ms=\([0-9]*\).*/\1 \2 \3 \4/' \
    | awk -v d="$day" '{ printf "%.0f\n",
        (d + $1 * 3600 + $2 * 60 + $3) * 1000 - $4 + 0.5 }' | sort -n
}

# Prints the arrival time of the last request before the longest time without
# requests to HOST, counted from MS on: last_start HOST MS.  This is the last
# request of all if HOST gets no more requests.
last_start () {
  request_starts "$1" | awk -v t="$2" -v now="$(now_ms)" '
    function note_gap(a, b) {
      if (b - a > longest) { longest = b - a; gap_start = a }
    }
    BEGIN { before = t }
    $1 >= t { note_gap(before, $1); before = $1 }
    END { note_gap(before, now); printf "%.0f\n", gap_start }'
}

# Measures the repair after a member's death: measure_member_death KIND RUN.
# KIND says whether spares have the weights (known) or fetch them (to-fetch).
measure_member_death () {
  local kind=$1 run=$2 id leader victim start_ms last_ms repaired_ms
  read -r id leader victim < <(print_group $((run % 2)))
  start_load 20 "$run"
  sleep 1.5
  start_ms=$(now_ms)
  curl -sf -X POST -o /dev/null -d "{\"host\":\"$victim\",\"dead\":true}" \
    "http://127.0.0.1:$(cat "$work/engines-1.control")/control/fault"
  if wait_for 60 is_repaired "$victim"; then
    repaired_ms=$(($(now_ms) - start_ms))
  else
    repaired_ms=none
  fi
  sleep 1
  stop_load
  last_ms=$(($(last_start "$leader" "$start_ms") - start_ms))
  dead+=("$victim")
  echo "$last_ms" >> "$work/death.$kind.last"
  [ "$repaired_ms" = none ] || echo "$repaired_ms" >> "$work/death.$kind.repaired"
  echo "part=death weights=$kind run=$run group=$id victim=$victim" \
    "last_new_request_ms=$last_ms repaired_ms=$repaired_ms"
  sleep 3
}

measure_death () {
  local run host kind
  dead=()
  for run in $(seq "$death_runs"); do
    measure_member_death to-fetch "$run"
  done
  # The hosts that died return and have the weights.
  for host in "${dead[@]}"; do
    curl -sf -X POST -o /dev/null -d "{\"host\":\"$host\",\"dead\":false}" \
      "http://127.0.0.1:$(cat "$work/engines-1.control")/control/fault"
  done
  sleep 12
  for run in $(seq "$death_runs"); do
    measure_member_death known "$run"
  done
  for kind in to-fetch known; do
    summary "death-$kind-no-new-request" "$work/death.$kind.last" 2500
    [ ! -s "$work/death.$kind.repaired" ] \
      || summary "death-$kind-repaired" "$work/death.$kind.repaired"
  done
}

measure_drain () {
  local run id leader other start_ms last_ms
  for run in $(seq "$drain_runs"); do
    read -r id leader other < <(print_group $((run % 2)))
    start_load 20 "$run"
    sleep 1.5
    start_ms=$(now_ms)
    run_operator drain "$leader" > /dev/null || echo "fault=drain run=$run"
    sleep 4
    stop_load
    last_ms=$(($(last_start "$leader" "$start_ms") - start_ms))
    echo "$last_ms" >> "$work/drain.last"
    echo "part=drain run=$run group=$id host=$leader last_new_request_ms=$last_ms"
    wait_for 60 is_repaired "$leader" || echo "fault=not-replaced run=$run"
    run_operator undrain "$leader" > /dev/null || echo "fault=undrain run=$run"
    sleep 2
  done
  summary drain-no-new-request "$work/drain.last" 2000
}

work=$(mktemp -d)
entries=() fleet_seed=
trap 'fleet_stop; rm -rf "$work"' EXIT
uptime
fleet_start_platform
for dc in 1 2 3; do
  count=6
  [ "$dc" -gt 1 ] || count=24
  fleet_start_engines "engines-$dc" "casa-$dc" "fabric-$dc" \
    "$(seq -s, -f "e$dc-%g" "$count")" --load-ms=500 --reload-ms=200
done
fleet_publish_hosts
for host in $entry_hosts; do
  fleet_start_entry "$host" "casa-$(cut -d- -f2 <<< "$host")"
done
write_sheet 10
run_operator sheet apply "$work/sheet.csv" > /dev/null
for dc in 1 2 3; do
  wait_for 60 fleet_has_serving_groups "entry-$dc-a" 2
  wait_for 60 fleet_has_serving_groups "entry-$dc-b" 2
done
[ "$apply_runs" = 0 ] || measure_apply
[ "$drain_runs" = 0 ] || measure_drain
[ "$death_runs" = 0 ] || measure_death
uptime
