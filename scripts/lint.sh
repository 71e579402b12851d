#!/usr/bin/env bash
# Checks the format of every C file and runs clang-tidy on every source file
# outside fuzz/; generated files are left out.
# Usage: scripts/lint.sh [--format-only]
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard \
  '*.c' '*.h' | grep -v '/generated/')
clang-format-14 --dry-run --Werror "${files[@]}"
[ "${1:-}" = --format-only ] && exit 0
scripts/build.sh asan
printf '%s\n' "${files[@]}" | grep '\.c$' | grep -v '^fuzz/' \
  | xargs -P "$(nproc)" -n 4 clang-tidy-14 -p build/asan --quiet 2> >(grep -v \
    'warnings\? generated\|Suppressed\|Use -header-filter' >&2)
