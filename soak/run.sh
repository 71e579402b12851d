#!/usr/bin/env bash
# Plays the seeds that ever failed and then fresh ones, three at a time.
# Usage: soak/run.sh [COUNT [FIRST]]: COUNT fresh seeds (10) from FIRST on (the
# time of day).  Prints a line a seed; status 1 if a promise was broken.
set -euo pipefail
cd "$(dirname "$0")/.."
count=${1:-10}
first=${2:-$(date +%s)}
scripts/build.sh asan
work=$(mktemp -d)
cp build/asan/soak/soak build/asan/packages/daemon/waxwinglinkd "$work"

play () {
  local kind=()
  [ "$2" = - ] || kind=(--only "$2")
  "$work/soak" --seed "$1" "${kind[@]}" --work "$work" "$work/waxwinglinkd"
}

status=0
pids=()
play_all () {
  local seed kind
  while read -r seed kind _; do
    case $seed in ''|'#'*) continue ;; esac
    play "$seed" "$kind" &
    pids+=($!)
    while [ "$(jobs -rp | wc -l)" -ge 3 ]; do sleep 0.2; done
  done
}
play_all < soak/seeds
play_all < <(seq -f '%.0f -' "$first" $((first + count - 1)))
for pid in "${pids[@]}"; do
  wait "$pid" || status=1
done
[ "$status" -ne 0 ] || rm -rf "$work"
exit "$status"
