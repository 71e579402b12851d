#!/usr/bin/env bash
# Checks that the soak notices when an entry host lacks a guard, for each guard.
# Usage: soak/guards.sh [GUARD...].  Builds into build/broken-GUARD and runs
# seeds from 1 on until one reports a violation.  This takes some minutes, so
# it is run by hand.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh asan
soak=build/asan/soak/soak
seeds=8 # most seeds that are run for each guard
guards=("$@")
if [ $# -eq 0 ]; then
  read -ra guards <<< "$(sed -n '/^set(EDGE_GUARDS/,/)/p' CMakeLists.txt \
    | tr '\n' ' ' | sed 's/set(EDGE_GUARDS//; s/).*//')"
fi
[ ${#guards[@]} -gt 0 ] || { echo "no guards found" >&2; exit 2; }
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

try_guard () {
  local dir=build/broken-$1 seed found
  cmake -S . -B "$dir" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DBREAK_GUARD="$1" > /dev/null 2>&1
  cmake --build "$dir" --target waxwinglinkd -- --quiet > /dev/null
  for seed in $(seq "$seeds"); do
    "$soak" --seed "$seed" --work "$work" \
      "$dir/packages/daemon/waxwinglinkd" > "$work/$1.out" 2>&1 && continue
    found=$(sed -n 's/^BROKEN \([A-Z]*\) .*/\1/p' "$work/$1.out" | sort \
      | uniq -c | awk '{ printf "%s%s:%s", sep, $2, $1; sep = " " }')
    printf '%-20s seed %s: %s\n' "$1" "$seed" "$found"
    return 0
  done
  printf '%-20s NOT CAUGHT in %s seeds\n' "$1" "$seeds"
  return 1
}

status=0
pids=()
for guard in "${guards[@]}"; do
  try_guard "$guard" &
  pids+=($!)
  while [ "$(jobs -rp | wc -l)" -ge 4 ]; do sleep 0.2; done
done
for pid in "${pids[@]}"; do
  wait "$pid" || status=1
done
exit "$status"
