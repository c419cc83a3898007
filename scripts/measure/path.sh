#!/usr/bin/env bash
# Measures the whole path on loopback with real processes: the latency that
# one router adds to the first token, memory, and invalid inputs. Prints
# figure,value,unit. RATE (500) streams a second of 4 s each make 2,000 concurrent ones.
set -euo pipefail
cd "$(dirname "$0")/../.."
scripts/build.sh > /dev/null
source scripts/lib/deployment.sh
trap deployment_end EXIT

rate=${RATE:-500}
load_processes=4
seconds=${SECONDS_OF_LOAD:-12}
engine_options=(--block-tokens 256 --cache-blocks 4096 --prefill-tokens-per-second 0
  --token-interval-ms 100 --max-running 2000)
deployment_start examples/kneadwell >&2

# rss NAME_PATTERN: highest resident memory in MB of the processes whose names match.
rss() {
  local name highest=0 kb
  for name in "${!pid_of[@]}"; do
    [[ $name =~ $1 ]] || continue
    kb=$(awk '/^VmRSS/ {print $2}' "/proc/${pid_of[$name]}/status")
    [ "$kb" -le "$highest" ] || highest=$kb
  done
  awk -v kb="$highest" 'BEGIN { printf "%.1f", kb / 1024 }'
}

# value FILE FIGURE: prints a figure's value from a CSV file.
value() { awk -F, -v figure="$2" '$1 == figure { print $2 }' "$1"; }

load() {
  "$build_dir/yuccapick_load" --csv --documents 64 --team harbour-physio=4 \
    --team north-quay-clinic=4 --team willow-therapy=3 --team canal-street --team fell-view \
    --team old-mill --team riverside-sports --team st-anne "$@"
}

echo "router_rss_idle,$(rss '^router'),MB"
echo "agent_rss_idle,$(rss '^engine|^plain'),MB"

direct=()
for ((i = 0; i < engines; i++)); do
  direct+=(--target "http://127.0.0.1:$(engine_port "$i")")
done
# All load processes send at the same rate, so that the client's own cost is the
# same for routed and direct streams; the slowest routed process counts.
share_rate=$((rate / load_processes))
load --direct "${direct[@]}" --streams-per-second "$share_rate" --seconds "$seconds" \
  --max-tokens 40 --seed 100 > "$run_dir/direct.csv" &
direct_load=$!
routed_loads=()
for ((i = 0; i < load_processes; i++)); do
  load --target "http://127.0.0.1:$(router_port 0)" --chat-service diary-assistant \
    --streams-per-second "$share_rate" --seconds "$seconds" --max-tokens 40 --seed "$((i + 1))" \
    > "$run_dir/routed-$i.csv" 2> "$run_dir/routed-$i.err" &
  routed_loads+=($!)
done
sleep $((seconds - 1))
echo "router_rss,$(rss '^router-0'),MB"
echo "agent_rss,$(rss '^engine|^plain'),MB"
wait $direct_load || true
for pid in "${routed_loads[@]}"; do wait "$pid" || true; done

# over_loads FIGURE sum|max
over_loads() {
  cat "$run_dir"/routed-*.csv | awk -F, -v figure="$1" -v way="$2" '
    $1 == figure { sum += $2; if ($2 > max) max = $2 }
    END { print way == "max" ? max : sum }'
}
for share in p50 p95; do
  routed=$(over_loads first_token_$share max)
  straight=$(value "$run_dir/direct.csv" first_token_$share)
  echo "first_token_routed_$share,$routed,ms"
  echo "first_token_direct_$share,$straight,ms"
  awk -v a="$routed" -v b="$straight" -v name="added_first_token_$share" \
    'BEGIN { printf "%s,%.3f,ms\n", name, a - b }'
done
for figure in streams incomplete_streams wrong_streams refused concurrent_streams_peak; do
  echo "$figure,$(over_loads $figure sum),count"
done
for figure in streams_per_second tokens_per_second; do
  echo "$figure,$(over_loads $figure sum),1/s"
done

# Invalid inputs from callers, then truncated and crossed answers from upstreams.
router="http://127.0.0.1:$(router_port 0)"
"$build_dir/bad_input" --target "127.0.0.1:$(router_port 0)" > "$run_dir/bad.csv" || true
tried=$(value "$run_dir/bad.csv" bad_input_tried)
accepted=$(value "$run_dir/bad.csv" bad_input_wrongly_accepted)
set_faults() {
  local i
  for ((i = 0; i < engines; i++)); do
    curl -sf -o /dev/null "http://127.0.0.1:$(engine_port "$i")/faults" -d "$1"
  done
}
for fault in '{"truncate_after":3}' '{"truncate_after":0,"cross_answers":true}'; do
  set_faults "$fault"
  load --target "$router" --chat-service diary-assistant --streams-per-second 20 \
    --whole-per-second 10 --seconds 2 --max-tokens 8 > "$run_dir/fault.csv" 2>> "$run_dir/fault.err" || true
  tried=$((tried + $(value "$run_dir/fault.csv" streams) + $(value "$run_dir/fault.csv" whole_answers)))
  accepted=$((accepted + $(value "$run_dir/fault.csv" wrong_streams) + $(value "$run_dir/fault.csv" wrong_whole_answers)))
done
set_faults '{"truncate_after":0,"cross_answers":false}'
echo "bad_input_tried,$tried,count"
echo "bad_input_wrongly_accepted,$accepted,count"
curl -sf -o /dev/null "$router/healthz" && echo "router_alive_after_bad_input,1,bool"
stop_all
