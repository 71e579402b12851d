#!/usr/bin/env bash
# Runs this case; see claim.txt.  TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=build/review-3/case-14
[ -x "$program" ] || { echo "run review/build-3.sh first" >&2; exit 2; }
exec "$program" review/14
