#!/usr/bin/env bash
# Installs packages, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
scripts/build.sh
ctest --test-dir "$build_dir" --output-on-failure -j "$(nproc)"
scripts/test_embedding.sh
