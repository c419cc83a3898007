#!/usr/bin/env bash
# Measures the time of a placement decision; prints a CSV.
set -euo pipefail
cd "$(dirname "$0")/../.."
build_dir=${BUILD_DIR:-build}
[ -f "$build_dir/build.ninja" ] || cmake -S . -B "$build_dir" -G Ninja > /dev/null
ninja -C "$build_dir" decision_benchmark > /dev/null
exec "$build_dir/decision_benchmark" "$@"
