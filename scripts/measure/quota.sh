#!/usr/bin/env bash
# Measures the time, messages and memory of quota decisions; prints
# figure,value,unit lines.
set -euo pipefail
cd "$(dirname "$0")/../.."
build_dir=${BUILD_DIR:-build}
[ -f "$build_dir/build.ninja" ] || cmake -S . -B "$build_dir" -G Ninja > /dev/null
ninja -C "$build_dir" quota_benchmark > /dev/null
exec "$build_dir/quota_benchmark" "$@"
