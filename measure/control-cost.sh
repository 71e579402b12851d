#!/usr/bin/env bash
# Cost of control per entry host: bytes, processor time and memory, by number of entry hosts and endpoints in one data centre
#
# Usage: measure/control-cost.sh ["NODES:ENDPOINTS ..."] [SECONDS]
# Every entry host is a real daemon; the endpoints are one stand-in process.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build/release
sizes=${1:-"6:18 12:18 24:18 24:48 24:96 48:96 76:158"}
seconds=${2:-10}
. scripts/fleet.sh

# Prints the sum of one metric over all entry hosts: sum_metric NAME.
sum_metric () {
  local sum=0 host value
  for host in "${hosts[@]}"; do
    value=$(curl -sf "$(fleet_admin_url "$host")/metrics" \
      | awk -v name="$1" 'index($1, name) == 1 { s += $2 } END { printf "%d", s }')
    sum=$((sum + value))
  done
  echo "$sum"
}

# Prints the processor time of all entry hosts in clock ticks.
cpu_ticks () {
  local sum=0 host
  for host in "${hosts[@]}"; do
    sum=$((sum + $(awk '{ print $14 + $15 }' "/proc/$(cat "$work/$host.pid")/stat")))
  done
  echo "$sum"
}

# Prints the largest resident memory of an entry host.
max_resident_kb () {
  local max=0 host kb
  for host in "${hosts[@]}"; do
    kb=$(awk '/VmRSS/ { print $2 }' "/proc/$(cat "$work/$host.pid")/status")
    [ "$kb" -gt "$max" ] && max=$kb
  done
  echo "$max"
}

# True if every entry host knows COUNT live peers: all_joined COUNT.
all_joined () {
  local host
  for host in "${hosts[@]}"; do
    curl -sf "$(fleet_admin_url "$host")/metrics" | grep -q "^waxwing_peers_live $1$" \
      || return 1
  done
}

measure_size () {
  local nodes=$1 endpoints=$2 i sent received cpu calls
  work=$(mktemp -d)
  entries=() hosts=() fleet_seed=
  trap 'fleet_stop; rm -rf "$work"' EXIT
  fleet_start_platform
  fleet_start_engines engines casa-1 fabric-1 "$(seq -s, -f 'e%g' "$endpoints")"
  fleet_publish_hosts
  for i in $(seq "$nodes"); do
    fleet_start_entry "entry-$i" casa-1
    hosts+=("entry-$i")
  done
  wait_for 120 all_joined "$nodes"
  # Wait until newly started hosts have received all state.
  sleep $((3 + nodes / 6))
  sent=$(sum_metric waxwing_peer_bytes_sent_total)
  received=$(sum_metric waxwing_peer_bytes_received_total)
  calls=$(sum_metric waxwing_platform_calls_total)
  cpu=$(cpu_ticks)
  sleep "$seconds"
  # The few metrics requests add a little processor time to the result.
  cpu=$(($(cpu_ticks) - cpu))
  sent=$(($(sum_metric waxwing_peer_bytes_sent_total) - sent))
  received=$(($(sum_metric waxwing_peer_bytes_received_total) - received))
  calls=$(($(sum_metric waxwing_platform_calls_total) - calls))
  echo "nodes=$nodes endpoints=$endpoints" \
    "sent_bytes_per_s=$((sent / seconds / nodes))" \
    "received_bytes_per_s=$((received / seconds / nodes))" \
    "cpu_percent=$(awk -v c="$cpu" -v n="$nodes" -v s="$seconds" \
      -v hz="$(getconf CLK_TCK)" 'BEGIN { printf "%.2f", 100 * c / hz / n / s }')" \
    "resident_kb_max=$(max_resident_kb)" \
    "platform_calls_per_s=$(awk -v c="$calls" -v s="$seconds" \
      'BEGIN { printf "%.1f", c / s }')"
  fleet_stop
  rm -rf "$work"
  trap - EXIT
}

for size in $sizes; do
  measure_size "${size%:*}" "${size#*:}"
done
