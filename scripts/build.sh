#!/usr/bin/env bash
# Builds the workspace. Usage: scripts/build.sh [release|asan|fuzz]
set -euo pipefail
cd "$(dirname "$0")/.."
kind=${1:-release}
dir=build/$kind
args=()
case $kind in
  release) args=(-DCMAKE_BUILD_TYPE=RelWithDebInfo) ;;
  asan) args=(-DCMAKE_BUILD_TYPE=Debug -DWITH_SANITIZERS=ON) ;;
  fuzz) args=(-DCMAKE_BUILD_TYPE=Debug -DWITH_FUZZERS=ON
              -DCMAKE_C_COMPILER=clang-14) ;;
  *) echo "build.sh: unknown build kind: $kind" >&2; exit 2 ;;
esac
[ -f "$dir/build.ninja" ] || cmake -S . -B "$dir" -G Ninja "${args[@]}" >/dev/null
cmake --build "$dir" -- --quiet
