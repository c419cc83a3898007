# Starts and stops a deployment of stand-ins, agents and routers on loopback.
# Source this file. It reads BUILD_DIR (build), BASE_PORT (default: one of 28 ranges of 500
# ports, by process id), and the engine_options, engines, plains and routers set by the
# caller before deployment_start.

base_port=${BASE_PORT:-$((17000 + $$ % 28 * 500))}
build_dir=${BUILD_DIR:-build}
engines=18
plains=3
routers=3
domains=(mids-a mids-b mids-c)
region=midlands
secret=loopback-example
model_weights=fen-3b@2026-11
model_adapter=notes
plain_services=(bookings diaries)
engine_options=()

run_dir=$(mktemp -d)
pids=()
declare -A pid_of

platform_port=$base_port
engine_port() { echo $((base_port + 100 + $1)); }
plain_port() { echo $((base_port + 150 + $1)); }
agent_port() { echo $((base_port + 200 + $1)); }
router_port() { echo $((base_port + 300 + $1)); }
router_link_port() { echo $((base_port + 320 + $1)); }
router_metrics_port() { echo $((base_port + 340 + $1)); }
domain_of() { echo "${domains[$(($1 % ${#domains[@]}))]}"; }
platform_url="http://127.0.0.1:$platform_port"

# start NAME COMMAND...: runs a process in the background.
start() {
  local name=$1
  shift
  "$@" > "$run_dir/$name.log" 2>&1 &
  pids+=($!)
  pid_of[$name]=$!
}

# wait_for_url URL SECONDS: waits until the URL answers 200.
wait_for_url() {
  local tries=$(($2 * 10))
  until curl -sf -o /dev/null --max-time 2 "$1"; do
    tries=$((tries - 1))
    if [ $tries -le 0 ]; then
      echo "$1 does not answer 200; see the logs in $run_dir" >&2
      return 1
    fi
    sleep 0.1
  done
}

# write_settings FILE INSTANCE NUMBER LINK_PORT: writes the settings common to all
# processes.
write_settings() {
  cat > "$1" << EOF
[process]
instance = "$2"
failure_domain = "$(domain_of "$3")"
region = "$region"
secret = "$secret"
drain_deadline_ms = 10000

[link]
port = $4

[platform]
table_url = "$platform_url/table"
objects_url = "$platform_url/objects"
instances_url = "$platform_url/instances"
EOF
}

# register INSTANCE KIND NUMBER LINK_PORT [SERVICES]: adds it to the instance list.
register() {
  curl -sf -o /dev/null -X PUT "$platform_url/instances/$1" -d "{
    \"kind\":\"$2\",\"host\":\"127.0.0.1\",\"port\":$4,
    \"failure_domain\":\"$(domain_of "$3")\",\"region\":\"$region\",
    \"state\":\"live\",\"services\":[${5:-}]}"
}

# check_alive: fails if a process has ended early, for example because its port is in
# use.
check_alive() {
  local name
  for name in "${!pid_of[@]}"; do
    kill -0 "${pid_of[$name]}" 2> /dev/null && continue
    echo "$name ended early; set BASE_PORT to another range if its port was taken:" >&2
    tail -n 3 "$run_dir/$name.log" >&2
    return 1
  done
}

start_platform() {
  start platform "$build_dir/yuccapick-standin" platform --listen "127.0.0.1:$platform_port"
  wait_for_url "$platform_url/instances" 10
  check_alive
}

start_upstreams() {
  local i
  for ((i = 0; i < engines; i++)); do
    start "standin-engine-$i" "$build_dir/yuccapick-standin" engine \
      --listen "127.0.0.1:$(engine_port "$i")" --weights "127.0.0.1:$platform_port" \
      --load "$model_weights" --load "${model_weights%@*}:$model_adapter@${model_weights#*@}" \
      "${engine_options[@]}"
  done
  for ((i = 0; i < plains; i++)); do
    start "standin-plain-$i" "$build_dir/yuccapick-standin" plain \
      --listen "127.0.0.1:$(plain_port "$i")"
  done
}

# start_agent INSTANCE KIND NUMBER LINK_PORT UPSTREAM_PORT [SERVICES]
start_agent() {
  write_settings "$run_dir/$1.toml" "$1" "$3" "$4"
  cat >> "$run_dir/$1.toml" << EOF

[agent]
upstream = "$1"
kind = "$2"
upstream_url = "http://127.0.0.1:$5"
services = [${6:-}]
EOF
  start "$1" "$build_dir/yuccapick" agent --settings "$run_dir/$1.toml"
  register "$1" "$2" "$3" "$4" "${6:-}"
}

start_agents() {
  local i services
  services=$(printf '"%s",' "${plain_services[@]}")
  for ((i = 0; i < engines; i++)); do
    start_agent "engine-$i" model_engine "$i" "$(agent_port "$i")" "$(engine_port "$i")"
  done
  for ((i = 0; i < plains; i++)); do
    start_agent "plain-$i" plain_service "$i" "$(agent_port $((engines + i)))" \
      "$(plain_port "$i")" "${services%,}"
  done
}

start_routers() {
  local i
  for ((i = 0; i < routers; i++)); do
    write_settings "$run_dir/router-$i.toml" "router-$i" "$i" "$(router_link_port "$i")"
    cat >> "$run_dir/router-$i.toml" << EOF

[metrics]
port = $(router_metrics_port "$i")

[router.listen]
port = $(router_port "$i")
EOF
    start "router-$i" "$build_dir/yuccapick" router --settings "$run_dir/router-$i.toml"
    register "router-$i" router "$i" "$(router_link_port "$i")"
  done
}

# publish DIRECTORY: puts a configuration into force.
publish() {
  write_settings "$run_dir/operator.toml" operator 0 0
  "$build_dir/yuccapick" publish --settings "$run_dir/operator.toml" "$1"
}

wait_for_routers() {
  local i
  for ((i = 0; i < routers; i++)); do
    wait_for_url "http://127.0.0.1:$(router_port "$i")/readyz" 30
  done
}

# deployment_start DIRECTORY: starts everything with this configuration.
deployment_start() {
  start_platform
  publish "$1"
  start_upstreams
  start_agents
  start_routers
  wait_for_routers
  check_alive
}

router_targets() {
  local i
  for ((i = 0; i < routers; i++)); do
    echo --target "http://127.0.0.1:$(router_port "$i")"
  done
}

plain_upstreams() {
  local i
  for ((i = 0; i < plains; i++)); do
    echo --plain-upstream "http://127.0.0.1:$(plain_port "$i")"
  done
}

# stop_all: sends SIGTERM to routers, then agents, then stand-ins; returns 1 if one did
# not exit with 0.
stop_all() {
  local failed=0 name pid
  for name in $(printf '%s\n' "${!pid_of[@]}" | grep '^router' | sort) \
    $(printf '%s\n' "${!pid_of[@]}" | grep -E '^(engine|plain)-' | sort) \
    $(printf '%s\n' "${!pid_of[@]}" | grep -E '^(standin|platform)' | sort); do
    kill -TERM "${pid_of[$name]}" 2> /dev/null || true
    case $name in router*) wait_stopped "$name" || failed=1 ;; esac
  done
  for name in "${!pid_of[@]}"; do
    case $name in router*) ;; *) wait_stopped "$name" || failed=1 ;; esac
  done
  pid_of=()
  return $failed
}

wait_stopped() {
  local code=0
  wait "${pid_of[$1]}" || code=$?
  [ $code = 0 ] || echo "$1 ended with exit code $code; see $run_dir/$1.log" >&2
  return $code
}

# deployment_end: to be used as a trap on EXIT. Keeps the logs only after a failure.
deployment_end() {
  local code=$?
  trap - EXIT
  [ ${#pid_of[@]} = 0 ] || stop_all || code=1
  if [ $code = 0 ]; then
    rm -rf "$run_dir"
  else
    echo "logs are in $run_dir" >&2
  fi
  exit $code
}
