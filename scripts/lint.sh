#!/usr/bin/env bash
# Checks formatting and runs the linter. With files as arguments, only on them.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh clang-format clang-tidy
build_dir=${BUILD_DIR:-build}
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files '*.cc' '*.h')
fi
clang-format --dry-run -Werror "${files[@]}"
[ -f "$build_dir/compile_commands.json" ] || cmake -S . -B "$build_dir" -G Ninja > /dev/null
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cc$')
[ ${#sources[@]} = 0 ] && exit 0
printf '%s\0' "${sources[@]}" |
  xargs -0 -P "$(nproc)" -n 2 clang-tidy --quiet -p "$build_dir" 2> /dev/null
