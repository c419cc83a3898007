#!/usr/bin/env bash
# Builds the programs that the scripts of the cases 11 to 15 start: stand-ins of
# the platform's store, servers and clients, without a network. The gateway is
# built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p "$out"
compile() { "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$@"; }
objects=()
for name in http fleet engine; do
  compile -c "review/lib-3/$name.cc" -o "$out/$name.o" &
  objects+=("$out/$name.o")
done
wait
for source in review/1[1-5]/case.cc; do
  [ -f "$source" ] || continue
  case_dir=$(dirname "$source")
  compile "$source" "${objects[@]}" -o "$out/case-${case_dir##*/}" &
done
wait
