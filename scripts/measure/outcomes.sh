#!/usr/bin/env bash
# Usage: scripts/measure.sh outcomes [--seed N] [--runs M] [--threads T] [--limits]
# Runs M random schedules of each named fault and each pair of faults and prints
# the outcomes of all operations. --limits prints shares, retries and claim cost.
set -euo pipefail
cd "$(dirname "$0")/../.."
scripts/build.sh > /dev/null
exec "${BUILD_DIR:-build}/outcomes_run" "$@"
