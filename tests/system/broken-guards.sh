#!/usr/bin/env bash
# Builds daemons that each lack one guard and verifies that standin-check
# reports a violation for each, and none for the complete build.
# Usage: broken-guards.sh [GUARD...]
# Builds into build/broken-GUARD.  Takes some minutes, so CI does not run it.
set -euo pipefail
cd "$(dirname "$0")/../.."
guards=("$@")
if [ $# -eq 0 ]; then
  read -ra guards <<< "$(sed -n '/^set(GUARDS/,/)/p' CMakeLists.txt \
    | tr '\n' ' ' | sed 's/set(GUARDS//; s/).*//')"
fi
[ ${#guards[@]} -gt 0 ] || { echo "no guards found" >&2; exit 2; }
output=$(mktemp)
trap 'rm -f "$output"' EXIT
failed=0

# test_variant NAME GUARD STATUS: builds a variant, runs the scenario, and prints
# a row.  Fails unless the checker exits with STATUS.
test_variant () {
  local dir=build/broken-$1 status=0 found
  cmake -S . -B "$dir" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DBREAK_GUARD="$2" > /dev/null 2>&1
  cmake --build "$dir" --target waxwinglinkd waxwinglink standin-platform \
    standin-engine standin-load standin-check -- --quiet > /dev/null
  : > "$output"
  bash tests/system/guard-scenario.sh "$dir" "$output" \
    > "$dir/scenario.log" 2>&1 || status=$?
  cp "$output" "$dir/checker.out"
  found=$(sed -n 's/^broken property=\([^ ]*\) .*/\1/p' "$output" | sort \
    | uniq -c | awk '{ printf "%s%s:%s", sep, $2, $1; sep = " " }')
  # The checker prints faults=N last; without this line the scenario failed.
  grep -q 'faults=[0-9]*$' "$output" || found="no verdict"
  if [ "$found" = "no verdict" ] || [ "$status" -ne "$3" ]; then
    failed=1
    printf '%-14s %-9s %s\n' "$1" FAILED "${found:--}"
  else
    printf '%-14s %-9s %s\n' "$1" ok "${found:--}"
  fi
}

printf '%-14s %-9s %s\n' BUILD RESULT "BROKEN PROPERTIES"
test_variant none '' 0
for guard in "${guards[@]}"; do
  test_variant "$guard" "$guard" 1
done
exit "$failed"
