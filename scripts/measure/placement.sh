#!/usr/bin/env bash
# Replays seeded traces under all placement policies; prints a CSV.
# Options are those of placement_replay, such as --seed N, --deployment NAME.
set -euo pipefail
cd "$(dirname "$0")/../.."
build_dir=${BUILD_DIR:-build}
[ -f "$build_dir/build.ninja" ] || cmake -S . -B "$build_dir" -G Ninja > /dev/null
ninja -C "$build_dir" placement_replay > /dev/null
exec "$build_dir/placement_replay" "$@"
