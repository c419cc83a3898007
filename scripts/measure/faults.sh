#!/usr/bin/env bash
# Sends streams through one router of the Kneadwell example while engines or agents
# fail, and prints fault,streams,complete,incomplete,wrong,refused. Each fault
# is injected into a new deployment, FAULT_AT (3) seconds after the load begins.
set -euo pipefail
cd "$(dirname "$0")/../.."
scripts/build.sh > /dev/null
source scripts/lib/deployment.sh
engine_options=(--block-tokens 256 --cache-blocks 4096 --token-interval-ms 50)

set_faults() {
  local i
  for ((i = 0; i < $1; i++)); do
    curl -s -o /dev/null "http://127.0.0.1:$(engine_port "$i")/faults" -d "$2" || true
  done
}

strike() {
  case $1 in
    none) ;;
    truncated) set_faults 3 '{"truncate_after":3}' ;;
    crossed) set_faults 3 '{"cross_answers":true}' ;;
    engines_crash) set_faults 6 '{"crash":true}' ;;
    agents_killed) kill -9 "${pid_of[engine-0]}" "${pid_of[engine-1]}" "${pid_of[engine-2]}" "${pid_of[engine-3]}" ;;
  esac
}

value() { awk -F, -v figure="$2" '$1 == figure { print $2 }' "$1"; }

echo "fault,streams,complete,incomplete,wrong,refused"
faults=("$@")
[ ${#faults[@]} -gt 0 ] || faults=(none truncated crossed engines_crash agents_killed)
if [ ${#faults[@]} -gt 1 ]; then
  for fault in "${faults[@]}"; do "$0" "$fault" | tail -n +2; done
  exit 0
fi
trap deployment_end EXIT
fault=${faults[0]}
deployment_start examples/kneadwell > /dev/null
"$build_dir/yuccapick_load" --csv --documents 16 --team harbour-physio=4 --team north-quay-clinic=4 \
  --team willow-therapy=3 --team canal-street --target "http://127.0.0.1:$(router_port 0)" \
  --chat-service diary-assistant --streams-per-second 80 --seconds 6 --max-tokens 40 --seed 7 \
  > "$run_dir/load.csv" 2> /dev/null &
load=$!
sleep "${FAULT_AT:-3}"
strike "$fault"
wait $load || true
for figure in streams complete_streams incomplete_streams wrong_streams refused; do
  value "$run_dir/load.csv" "$figure"
done | paste -sd, | sed "s/^/$fault,/"
