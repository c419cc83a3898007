#!/usr/bin/env bash
# run_case.sh N: runs case N and writes review/N/record.txt. Exits with 1 if the
# rule was broken, 0 if it held, and 2 if the case couldn't run.
set -uo pipefail
number=$1
cd "$(dirname "$0")/../.." || exit 2
program=build-review-2/case_$number
if [ ! -x "$program" ] || [ ! -x target/yuccapick ]; then
  echo "build the deploy file and run review/build-2.sh first" >&2
  exit 2
fi
directory=$(mktemp -d) || exit 2
timeout --kill-after=5 110 "$program" "review/$number/record.txt" "$directory"
code=$?
rm -rf "$directory"
[ $code -le 1 ] && exit $code
exit 2
