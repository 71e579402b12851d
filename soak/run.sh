#!/usr/bin/env bash
# Runs the recorded failing seeds (soak/seeds) and then new ones, three at a
# time.  Usage: soak/run.sh [COUNT [FIRST]]: COUNT new seeds (default 10) from
# FIRST on (default: the current Unix time).  Prints one line per seed; exit
# status 1 if a rule was broken.
set -euo pipefail
cd "$(dirname "$0")/.."
count=${1:-10}
first=${2:-$(date +%s)}
scripts/build.sh asan
work=$(mktemp -d)
cp build/asan/soak/soak build/asan/packages/daemon/waxwinglinkd "$work"

run_seed () {
  local kind=()
  [ "$2" = - ] || kind=(--only "$2")
  "$work/soak" --seed "$1" "${kind[@]}" --work "$work" "$work/waxwinglinkd"
}

status=0
pids=()
run_seeds () {
  local seed kind
  while read -r seed kind _; do
    case $seed in ''|'#'*) continue ;; esac
    run_seed "$seed" "$kind" &
    pids+=($!)
    while [ "$(jobs -rp | wc -l)" -ge 3 ]; do sleep 0.2; done
  done
}
run_seeds < soak/seeds
run_seeds < <(seq -f '%.0f -' "$first" $((first + count - 1)))
for pid in "${pids[@]}"; do
  wait "$pid" || status=1
done
[ "$status" -ne 0 ] || rm -rf "$work"
exit "$status"
