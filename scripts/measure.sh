#!/usr/bin/env bash
# Runs the measurement measure/NAME.sh, which prints key=value lines.
# Usage: scripts/measure.sh NAME | --list
set -euo pipefail
cd "$(dirname "$0")/.."
case ${1:-} in
  --list)
    # The second line of each script describes the measurement.
    for script in measure/*.sh; do
      printf '%-20s %s\n' "$(basename "$script" .sh)" \
        "$(sed -n '2s/^# //p' "$script")"
    done
    ;;
  '' | -*) echo "usage: scripts/measure.sh NAME | --list" >&2; exit 2 ;;
  *)
    [ -x "measure/$1.sh" ] || {
      echo "measure.sh: unknown measurement: $1" >&2
      exit 2
    }
    scripts/build.sh release
    exec "measure/$1.sh"
    ;;
esac
