#!/usr/bin/env bash
# Measures how fast a new configuration is in force at 3 routers and 21 agents
# on loopback. Prints figure,value,unit lines. PUBLISHES (30) sets the number of
# changes of each part; BASE_PORT (18000) sets the base of all ports.
set -euo pipefail
cd "$(dirname "$0")/../.."
BASE_PORT=${BASE_PORT:-18000}
publishes=${PUBLISHES:-30}
scripts/build.sh > /dev/null
source scripts/lib/deployment.sh
trap deployment_end EXIT
deployment_start examples/kneadwell > /dev/null
config_dir=$run_dir/config
cp -r examples/kneadwell "$config_dir"
changed=$(find "$config_dir" -name yuccapick.toml | sort | head -1)
service_text=$(grep -v '^max_concurrency' "$changed")
limit=0

# publish_once: changes one service and prints the milliseconds until every
# process has it in force, or nothing if this takes too long.
publish_once() {
  limit=$((limit + 1))
  printf 'max_concurrency = %s\n%s\n' "$((10000 + limit))" "$service_text" > "$changed"
  "$build_dir/yuccapick" publish "$config_dir" --wait --timeout 20 \
    --settings "$run_dir/engine-0.toml" 2>> "$run_dir/publish.log" |
    sed -n 's/^in force at .* after \([0-9]*\) ms$/\1/p'
}

# percentile SHARE < NUMBERS: prints the percentile by nearest rank.
percentile() {
  sort -n | awk -v share="$1" '{ v[NR] = $1 }
    END { if (NR == 0) { print "none"; exit }
          rank = int(share * NR); if (rank < share * NR) rank++; print v[rank] }'
}

# measure FIGURE: publishes repeatedly and prints the percentiles of the times.
measure() {
  local i
  : > "$run_dir/$1.txt"
  for ((i = 0; i < publishes; i++)); do publish_once >> "$run_dir/$1.txt"; done
  echo "$1_p50,$(percentile 0.5 < "$run_dir/$1.txt"),ms"
  echo "$1_p99,$(percentile 0.99 < "$run_dir/$1.txt"),ms"
  echo "$1_missed,$((publishes - $(wc -l < "$run_dir/$1.txt"))),publishes"
}

rss_of() { awk '/^VmRSS/ { print $2 }' "/proc/${pid_of[$1]}/status"; }

measure publish_to_in_force
curl -sf -o /dev/null "$platform_url/faults" -d '{"lose_answer":0.05}'
measure publish_to_in_force_lost_answers
curl -sf -o /dev/null "$platform_url/faults" -d '{"lose_answer":0}'
echo "rss_router_whole_process,$(rss_of router-0),KB"
echo "rss_agent_whole_process,$(rss_of engine-0),KB"
