#!/usr/bin/env bash
# Platform calls and bytes per non-idempotent call, by arrival rate
set -euo pipefail
cd "$(dirname "$0")/.."
exec build/release/measure/measure-claims
