#!/usr/bin/env bash
# platform calls and bytes per call that may not be repeated, by arrival rate
set -euo pipefail
cd "$(dirname "$0")/.."
exec build/release/measure/measure-claims
