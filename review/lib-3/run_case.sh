# Runs a case's program with a temporary folder. Sourced by the run.sh of a case
# with its folder as the argument. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run.
folder=$(cd "$1" && pwd)
cd "$folder/../.."
program="build/review-3/case-${folder##*/}"
if [ ! -x "$program" ] || [ ! -x target/yuccapick ]; then
  echo "build the deploy file's program and review/build-3.sh first" >&2
  exit 2
fi
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
timeout --kill-after=3 115 "$program" "$temporary" target/yuccapick \
  "$folder/record.txt"
result=$?
tail -n 1 "$folder/record.txt"
[ "$result" -le 2 ] || result=2
exit "$result"
