#!/usr/bin/env bash
# Checks models/*.pml with spin.  Each model must pass; it must fail when built
# with -DNAME for each line "/* broken: NAME */" in it.
# Usage: scripts/model.sh [NAME...]
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# check_model MODEL [spin option...]: prints "pass" or "fail".  Any other error,
# such as an exhausted search depth or memory limit, ends the script.
check_model () {
  local model=$1
  shift
  local dir
  dir=$(mktemp -d "$scratch/XXXXXX")
  (
    cd "$dir"
    spin -a "$@" "$model" > spin.log 2>&1 || { cat spin.log >&2; exit 3; }
    gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=2048 -o pan pan.c \
      || { echo "model.sh: cannot build $model" >&2; exit 3; }
    ./pan -m1000000 > pan.log 2>&1 || { cat pan.log >&2; exit 3; }
    if grep -q 'max search depth too small\|out of memory\|memory limit' \
        pan.log; then
      cat pan.log >&2
      exit 3
    fi
    grep 'states, stored' pan.log >&2
    grep -q 'errors: 0' pan.log && echo pass || echo fail
  )
}

names=("$@")
if [ "${#names[@]}" -eq 0 ]; then
  for model in models/*.pml; do
    [ -e "$model" ] && names+=("$(basename "$model" .pml)")
  done
fi
failed=0
for name in "${names[@]}"; do
  model=$root/models/$name.pml
  result=$(check_model "$model")
  echo "model $name: $result"
  [ "$result" = pass ] || failed=1
  while read -r variant; do
    result=$(check_model "$model" "-D$variant")
    echo "model $name with $variant: $result (must fail)"
    [ "$result" = fail ] || failed=1
  done < <(sed -n 's|^/\* broken: \([A-Z_]*\) \*/$|\1|p' "$model")
done
exit "$failed"
