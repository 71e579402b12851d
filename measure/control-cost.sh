#!/usr/bin/env bash
# Cost of control per entry host: bytes, processor time and memory against the number of entry hosts and endpoints of one data centre
#
# Usage: measure/control-cost.sh ["NODES:ENDPOINTS ..."] [SECONDS]
# Every entry host is a real daemon; the endpoints are one stand-in process.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build/release
sizes=${1:-"6:18 12:18 24:18 24:48 24:96 48:96 76:158"}
seconds=${2:-10}
. scripts/fleet.sh

# Sums one metric over all entry hosts.
total () {
  local sum=0 host value
  for host in "${hosts[@]}"; do
    value=$(curl -sf "$(admin "$host")/metrics" \
      | awk -v name="$1" 'index($1, name) == 1 { s += $2 } END { printf "%d", s }')
    sum=$((sum + value))
  done
  echo "$sum"
}

# Processor ticks of all entry hosts.
ticks () {
  local sum=0 host
  for host in "${hosts[@]}"; do
    sum=$((sum + $(awk '{ print $14 + $15 }' "/proc/$(cat "$work/$host.pid")/stat")))
  done
  echo "$sum"
}

resident_kb () {
  local max=0 host kb
  for host in "${hosts[@]}"; do
    kb=$(awk '/VmRSS/ { print $2 }' "/proc/$(cat "$work/$host.pid")/status")
    [ "$kb" -gt "$max" ] && max=$kb
  done
  echo "$max"
}

all_joined () {
  local host
  for host in "${hosts[@]}"; do
    curl -sf "$(admin "$host")/metrics" | grep -q "^waxwing_peers_live $1$" \
      || return 1
  done
}

run_size () {
  local nodes=$1 endpoints=$2 i sent received cpu calls
  work=$(mktemp -d)
  entries=() hosts=() fleet_seed=
  trap 'fleet_stop; rm -rf "$work"' EXIT
  fleet_platform
  fleet_engines engines casa-1 fabric-1 "$(seq -s, -f 'e%g' "$endpoints")"
  fleet_publish_hosts
  for i in $(seq "$nodes"); do
    fleet_daemon "entry-$i" casa-1
    hosts+=("entry-$i")
  done
  wait_for 120 all_joined "$nodes"
  # Until newcomers have been told everything.
  sleep $((3 + nodes / 6))
  sent=$(total waxwing_peer_bytes_sent_total)
  received=$(total waxwing_peer_bytes_received_total)
  calls=$(total waxwing_platform_calls_total)
  cpu=$(ticks)
  sleep "$seconds"
  # The readings themselves cost a little processor time; they are few.
  cpu=$(($(ticks) - cpu))
  sent=$(($(total waxwing_peer_bytes_sent_total) - sent))
  received=$(($(total waxwing_peer_bytes_received_total) - received))
  calls=$(($(total waxwing_platform_calls_total) - calls))
  echo "nodes=$nodes endpoints=$endpoints" \
    "sent_bytes_per_s=$((sent / seconds / nodes))" \
    "received_bytes_per_s=$((received / seconds / nodes))" \
    "cpu_percent=$(awk -v c="$cpu" -v n="$nodes" -v s="$seconds" \
      -v hz="$(getconf CLK_TCK)" 'BEGIN { printf "%.2f", 100 * c / hz / n / s }')" \
    "resident_kb_max=$(resident_kb)" \
    "platform_calls_per_s=$(awk -v c="$calls" -v s="$seconds" \
      'BEGIN { printf "%.1f", c / s }')"
  fleet_stop
  rm -rf "$work"
  trap - EXIT
}

for size in $sizes; do
  run_size "${size%:*}" "${size#*:}"
done
