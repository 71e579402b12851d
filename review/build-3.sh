#!/usr/bin/env bash
# Builds the programs of review/11 to review/15 into build/review-3.  They need
# the C library alone; run.sh of each case starts the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for source in review/1[1-5]/case.c; do
  number=$(basename "$(dirname "$source")")
  cc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -Werror -pthread -o "build/review-3/case-$number" \
    "$source" review/rig-3/rig.c
done
