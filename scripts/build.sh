#!/usr/bin/env bash
# Installs packages and builds everything. BUILD_DIR defaults to build.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
build_dir=${BUILD_DIR:-build}
cmake -S . -B "$build_dir" -G Ninja
cmake --build "$build_dir"
