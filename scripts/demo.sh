#!/usr/bin/env bash
# Installs packages, builds, and runs the Kneadwell example on loopback with
# real processes: 3 routers, 18 engines, 3 plain services, 21 agents and the
# platform stand-in. Exits 0 only if every stream was complete, every booking
# ran exactly once and every process stopped gracefully.
# BASE_PORT sets the base of all ports, DEMO_SECONDS (10) the duration.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh curl
scripts/build.sh > /dev/null
source scripts/lib/deployment.sh
trap deployment_end EXIT

engine_options=(--block-tokens 256 --cache-blocks 512 --token-interval-ms 10)
echo "Starting the Kneadwell example; logs are in $run_dir"
deployment_start examples/kneadwell

echo "Sending streams, unstreamed requests and bookings for ${DEMO_SECONDS:-10} s"
mapfile -t targets < <(router_targets | tr ' ' '\n')
mapfile -t upstreams < <(plain_upstreams | tr ' ' '\n')
"$build_dir/yuccapick_load" "${targets[@]}" "${upstreams[@]}" \
  --team harbour-physio=4 --team north-quay-clinic=4 --team willow-therapy=3 \
  --team canal-street --team fell-view --team old-mill --team riverside-sports --team st-anne \
  --model fen-3b --chat-service diary-assistant --plain-service bookings \
  --plain-path /appointments --streams-per-second 30 --whole-per-second 5 \
  --bookings-per-second 10 --seconds "${DEMO_SECONDS:-10}"

stop_all
echo "All streams complete, every booking ran once, ${#pids[@]} processes stopped gracefully."
