#!/usr/bin/env bash
# Serving path: time to first token added by a daemon, short requests per second, memory with slow readers; compared with direct access to the engine stand-in
#
# Usage: measure/serving.sh ["PART ..."] ["SEED ..."] [SECONDS]
# PART is first (time to first token, 26 ms between tokens), first-slow (100 ms),
# short, memory or memory-full.
# One daemon with 20 groups of one host in 4 stand-in processes; the baseline
# is 4 more processes with the same options that the load reaches directly.
# BUILD names another build directory, to compare two builds.  The load comes
# from 4 processes, so that the load generator does not limit the result.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build/release}
parts=${1:-"first first-slow short memory memory-full"}
seeds=${2:-"1 2 3"}
seconds=${3:-8}
processes=4
. scripts/fleet.sh

set_up_fleet () {
  work=$(mktemp -d)
  entries=() fleet_seed=
  trap 'fleet_stop; rm -rf "$work"' EXIT
  local i host direct_hosts hash
  fleet_start_platform
  for i in $(seq $processes); do
    fleet_start_engines "engines-$i" casa-1 fabric-1 \
      "$(seq -s, -f "e$i-%g" 5)" --slots=200 "$@"
  done
  cp "$work/hosts.jsonl" "$work/published"
  for i in $(seq $processes); do
    fleet_start_engines "direct-$i" casa-1 fabric-1 \
      "$(seq -s, -f "d$i-%g" 5)" --slots=200 "$@"
  done
  mv "$work/published" "$work/hosts.jsonl"
  fleet_publish_hosts
  direct_ports=
  for host in "$work"/d?-?.port; do
    direct_ports=${direct_ports:+$direct_ports,}$(cat "$host")
    curl -sf -o /dev/null -X POST "http://127.0.0.1:$(cat "$host")/v1/orders" \
      -d '{"fence":1,"order_id":"1","op":"load","group":"direct","generation":1,"rank":0,"span":1,"members":[],"model":"draft-llm","version":"v1","adapters":[],"role":"both"}'
  done
  fleet_start_entry entry-1 casa-1
  hash=$(printf secret | sha256sum | cut -d' ' -f1)
  cat > "$work/sheet.csv" << CSV
kind,name,model,version,adapters,span,count,data_centres,domains,hosts,customers,credential_sha256,weight,rate,in_flight,non_idempotent
customer,school-1,,,,,,casa-1,,,,$hash,10,0,0,
model,draft-llm,,v1,,,,,,,,,,,,
group,quotes,draft-llm,,,1,20,casa-1,,,,,,,,
end,,,,,,3,,,,,,,,,
CSV
  run_operator sheet apply "$work/sheet.csv" > /dev/null
  wait_for 60 fleet_has_serving_groups entry-1 20
  daemon_pid=$(cat "$work/entry-1.pid")
}

tear_down_fleet () {
  fleet_stop
  rm -rf "$work"
  trap - EXIT
}

# Runs the load: run_load PATH SEED RATE [option...].  PATH is daemon or direct;
# RATE is the sum over all processes.  Writes one output file per process to
# $work.
run_load () {
  local path=$1 seed=$2 rate=$3 i pids=()
  shift 3
  local where=(--ports="$(cat "$work/entry-1.callers")")
  if [ "$path" = direct ]; then
    where=(--ports="$direct_ports" --direct=direct)
  fi
  for i in $(seq $processes); do
    "$build/tests/standin/standin-load" "${where[@]}" \
      --customers=school-1:secret:1 --model=draft-llm --count=1000000 \
      --rate="$(awk -v r="$rate" -v n="$processes" 'BEGIN { print r / n }')" \
      --seed=$((seed * 100 + i)) --first-file="$work/$path.first.$i" "$@" \
      > "$work/$path.load.$i" 2>> "$work/load.log" &
    pids+=($!)
  done
  for i in "${pids[@]}"; do
    wait "$i" || echo "fault=load path=$path seed=$seed"
  done
}

# Prints the sum of a key over the outputs of the load: sum PATH KEY.
sum () {
  awk -F= -v key="$2" '$1 == key { s += $2 } END { printf "%d", s }' \
    "$work/$1".load.*
}

# Prints a quantile of the time to first token in ms: quantile PATH Q.
quantile () {
  sort -n "$work/$1".first.* | awk -v q="$2" '{ v[NR] = $1 }
    END { i = int (q * NR + 0.999999); if (i < 1) i = 1; printf "%.2f", v[i] / 1000 }'
}

# Prints the processor time of a process in clock ticks: cpu_ticks PID.
cpu_ticks () {
  awk '{ print $14 + $15 }' "/proc/$1/stat"
}

fault_counts () {
  echo "refused=$(sum "$1" refused) unanswered=$(sum "$1" unanswered)" \
    "broken=$(sum "$1" broken_streams) skipped=$(sum "$1" skipped)" \
    "wrong=$(($(sum "$1" wrong) + $(sum "$1" double) \
      + $(sum "$1" truncated) + $(sum "$1" missing)))"
}

# Measures the time to first token.  Every prompt is new, so that the prefix
# caches of both paths never hit.
measure_first_token () {
  local name=$1 token_ms=$2 tokens=$3 seed path q line cpu
  local rate=$((1000 * 1000 / (token_ms * tokens)))
  set_up_fleet --token-ms="$token_ms" --cache=1
  run_load daemon 9 "$rate" --streamed=1 --seconds=2 --tokens=2 --prompts=1000000000
  for seed in $seeds; do
    for path in direct daemon; do
      cpu=$(cpu_ticks "$daemon_pid")
      run_load "$path" "$seed" "$rate" --streamed=1 --tokens="$tokens" \
        --prompts=1000000000 --seconds="$seconds" --drain-ms=20000
      cpu=$(($(cpu_ticks "$daemon_pid") - cpu))
      for q in 0.50 0.95 0.99; do
        printf -v "${path}_${q#0.}" %s "$(quantile "$path" "$q")"
      done
      line="streams=$(cat "$work/$path".first.* | wc -l) tokens=$(sum "$path" tokens)"
      echo "part=$name seed=$seed path=$path rate=$rate $line" \
        "total_p50_ms=$(($(sum "$path" total_p50_us) / processes / 1000))" \
        "tokens_per_s=$(sum "$path" tokens_per_second)" \
        "daemon_cpu_s=$(awk -v c="$cpu" 'BEGIN { print c / 100 }') $(fault_counts "$path")"
    done
    for q in 50 95 99; do
      local a=direct_$q b=daemon_$q
      echo "part=$name seed=$seed quantile=$q direct_ms=${!a}" \
        "daemon_ms=${!b} added_ms=$(awk -v a="${!a}" -v b="${!b}" \
          'BEGIN { printf "%.2f", b - a }')"
    done
  done
  tear_down_fleet
}

# Measures short requests per second.  The offered rate cannot be reached, so
# the limit of calls in flight (50 per process) makes this a closed loop.
measure_short_requests () {
  local seed path cpu start_ms elapsed_ms
  set_up_fleet --token-ms=1
  run_load daemon 9 2000 --seconds=2 --tokens=1 --streamed=0
  for seed in $seeds; do
    for path in direct daemon; do
      cpu=$(cpu_ticks "$daemon_pid")
      start_ms=$(date +%s%3N)
      run_load "$path" "$seed" 80000 --streamed=0 --chat=0.25 --tokens=1 \
        --in-flight=50 --seconds="$seconds"
      elapsed_ms=$(($(date +%s%3N) - start_ms))
      cpu=$(($(cpu_ticks "$daemon_pid") - cpu))
      printf -v "$path" %s "$(sum "$path" answered_per_second)"
      echo "part=short seed=$seed path=$path answered_per_s=${!path}" \
        "daemon_cpu_percent=$(awk -v c="$cpu" -v t="$elapsed_ms" \
          'BEGIN { printf "%.0f", 1000 * c / t }')" \
        "refused=$(sum "$path" refused) unanswered=$(sum "$path" unanswered)"
    done
    echo "part=short seed=$seed ratio=$(awk -v a="$direct" -v b="$daemon" \
      'BEGIN { printf "%.3f", b / a }')"
  done
  tear_down_fleet
}

# Measures the memory per stream with callers that read 500 bytes per second:
# measure_memory NAME STREAMS TOKEN_MS.
measure_memory () {
  local name=$1 streams=$2 token_ms=$3 seed kb idle peak end open
  for seed in $seeds; do
    set_up_fleet --token-ms="$token_ms"
    idle=$(awk '/VmRSS/ { print $2 }' "/proc/$daemon_pid/status")
    peak=0 open=0
    run_load daemon "$seed" 500 --streamed=1 --chat=0 --tokens=16000 --seconds=4 \
      --in-flight=$((streams / processes)) --read-bytes-per-s=500 --deadline-ms=120000 \
      --drain-ms=45000 &
    end=$((SECONDS + 45))
    while [ "$SECONDS" -lt "$end" ]; do
      kb=$(awk '/VmRSS/ { print $2 }' "/proc/$daemon_pid/status")
      [ "$kb" -gt "$peak" ] && peak=$kb
      sleep 0.5
    done
    open=$(curl -sf "$(fleet_admin_url entry-1)/metrics" \
      | sed -n 's/^waxwing_requests_in_flight //p')
    wait $!
    echo "part=$name seed=$seed open_streams=$open" \
      "idle_kb=$idle peak_kb=$peak kb_per_stream=$(awk -v a="$idle" -v b="$peak" \
        -v n="$open" 'BEGIN { printf "%.1f", (b - a) / n }')" \
      "limit_kb=$((256 * 1024)) refused=$(sum daemon refused)" \
      "wrong=$(($(sum daemon wrong) + $(sum daemon double) \
        + $(sum daemon truncated) + $(sum daemon missing)))"
    tear_down_fleet
  done
}

uptime
for part in $parts; do
  case $part in
    first) measure_first_token first 26 60 ;;
    first-slow) measure_first_token first-slow 100 20 ;;
    short) measure_short_requests ;;
    memory) measure_memory memory 1000 10 ;;
    # Fewer and faster streams, so that the buffers of each stream fill up.
    memory-full) measure_memory memory-full 100 5 ;;
    *) echo "serving.sh: no part $part" >&2; exit 2 ;;
  esac
done
uptime
