#!/usr/bin/env bash
# Measures the time in which a gateway decodes a configuration; prints a table.
set -euo pipefail
cd "$(dirname "$0")/../.."
build_dir=${BUILD_DIR:-build}
[ -f "$build_dir/build.ninja" ] || cmake -S . -B "$build_dir" -G Ninja > /dev/null
ninja -C "$build_dir" gateway_config_benchmark > /dev/null
exec "$build_dir/gateway_config_benchmark" "$@"
