#!/usr/bin/env bash
# Admission, endpoint choice and retries against a baseline policy, in virtual time
set -euo pipefail
cd "$(dirname "$0")/.."
exec build/release/measure/measure-policy "${1:-5}"
