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
  local kinds=()
  [ "$3" = - ] || kinds=(--only "$3")
  "$work/soak" --seed "$1" --shape "$2" "${kinds[@]}" --work "$work" "$work/waxwinglinkd"
}

status=0
pids=()
# Waits until fewer than this number run.
wait_for_jobs () {
  while [ "$(jobs -rp | wc -l)" -ge "$1" ]; do sleep 0.2; done
}

run_seeds () {
  local seed shape kinds
  while read -r seed shape kinds _; do
    case $seed in ''|'#'*) continue ;; esac
    # A large fleet is played alone.
    [ "$shape" = small ] || wait_for_jobs 1
    run_seed "$seed" "$shape" "$kinds" &
    pids+=($!)
    if [ "$shape" = small ]; then wait_for_jobs 3; else wait_for_jobs 1; fi
  done
}
run_seeds < soak/seeds
run_seeds < <(seq -f '%.0f small -' "$first" $((first + count - 1)))
for pid in "${pids[@]}"; do
  wait "$pid" || status=1
done
[ "$status" -ne 0 ] || rm -rf "$work"
exit "$status"
