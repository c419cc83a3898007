#!/usr/bin/env bash
# Installs the library below the build directory, builds the embedding example
# against it, and runs it.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=$(realpath "${BUILD_DIR:-build}")
prefix=$build_dir/prefix
cmake --install "$build_dir" --prefix "$prefix" > /dev/null
cmake -S examples/embedding -B "$build_dir/embedding" -G Ninja \
  -DCMAKE_PREFIX_PATH="$prefix" -DCMAKE_CXX_COMPILER_LAUNCHER=ccache > /dev/null
cmake --build "$build_dir/embedding"
ctest --test-dir "$build_dir/embedding" --output-on-failure
