#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into review/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for case in */case.c; do
  gcc -std=c11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Werror -pthread \
    rig/*.c "$case" -ljansson -o "build/case-${case%%/*}"
done
