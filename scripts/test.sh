#!/usr/bin/env bash
# Builds everything and runs every test: lint, unit and system tests with
# sanitizers, fuzzers with a fixed seed and run count, and model checks.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/lint.sh
scripts/build.sh release
scripts/build.sh asan
# KNOWN-RED.txt names tests that fail for a known fault, one per line as
# "test: NAME"; they are run and shown, but do not decide the verdict.
red=
if [ -f KNOWN-RED.txt ]; then
  red=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd '|')
fi
if [ -n "$red" ]; then
  echo "known red: $red"
  ctest --test-dir build/asan -R "^($red)\$" --timeout 300 || true
  ctest --test-dir build/asan --output-on-failure -j 4 --timeout 300 \
    -E "^($red)\$"
else
  ctest --test-dir build/asan --output-on-failure -j 4 --timeout 300
fi
scripts/fuzz.sh
if [ -x scripts/model.sh ]; then
  scripts/model.sh
fi
