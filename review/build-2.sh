#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10: each case with its stand-ins in one
# program. Needs the compiler and the JSON headers of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-2
mkdir -p "$out"
g++ -std=c++20 -O1 -Wall -Wextra -I . -c review/lib-2/stand_ins.cc -o "$out/stand_ins.o"
for source in review/{6,7,8,9,10}/case.cc; do
  [ -f "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -I . "$source" "$out/stand_ins.o" \
    -pthread -o "$out/case_$name"
done
