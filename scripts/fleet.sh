# Library for scripts and system tests: starts stand-ins and entry hosts on
# loopback with ephemeral ports, and stops them by process id.
#
# The caller sets $build (build directory), $work (scratch directory) and
# entries=() (options of the operators' command).  For entry hosts it may set
# $fleet_seed (peer addresses; the first entry host by default) and
# $fleet_settings (lines of YAML).

fleet_pids=()
fleet_key=1:00112233445566778899aabbccddeeff

# wait_for SECONDS COMMAND...: waits until the command succeeds.
wait_for () {
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    [ "$SECONDS" -lt "$end" ] || { echo "timed out: $*" >&2; return 1; }
    sleep 0.05
  done
}

# fleet_spawn NAME COMMAND...: starts a program in the background.  Writes stdout
# to $work/NAME.out, stderr to $work/NAME.log, and the process id to
# $work/NAME.pid.
fleet_spawn () {
  local name=$1
  shift
  : > "$work/$name.log"
  "$@" > "$work/$name.out" 2> "$work/$name.log" &
  fleet_pids+=($!)
  echo $! > "$work/$name.pid"
}

# Resumes and terminates every started process; kills those that still run after
# 10 s.
fleet_stop () {
  local pid
  for pid in "${fleet_pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${fleet_pids[@]}"; do
    for _ in $(seq 100); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  fleet_pids=()
}

# fleet_start_platform [option...]: starts standin-platform; sets $platform and
# $platform_port.
fleet_start_platform () {
  fleet_spawn platform "$build/tests/standin/standin-platform" "$@"
  wait_for 20 grep -q 'listening port=' "$work/platform.out"
  platform_port=$(sed -n 's/.*listening port=//p' "$work/platform.out")
  platform=127.0.0.1:$platform_port
}

# fleet_start_engines NAME DATA_CENTRE DOMAIN HOSTS [option...]: starts a
# standin-engine for HOSTS (separated by commas) and appends them to the host
# list.
fleet_start_engines () {
  local name=$1 data_centre=$2 domain=$3 hosts=$4 count
  shift 4
  count=$(tr ',' '\n' <<< "$hosts" | wc -l)
  fleet_spawn "$name" "$build/tests/standin/standin-engine" \
    --hosts="$hosts" "$@"
  wait_for 20 fleet_has_listeners "$work/$name.out" $((count + 1))
  fleet_append_hosts "$name" "$data_centre" "$domain" "$*"
}

# fleet_has_listeners FILE N: true if FILE reports at least N open ports.
fleet_has_listeners () {
  [ "$(grep -c listening "$1")" -ge "$2" ]
}

# fleet_append_hosts NAME DATA_CENTRE DOMAIN OPTIONS: writes the ports of a
# standin-engine to $work/HOST.port and $work/NAME.control, and its hosts to
# $work/hosts.jsonl.
fleet_append_hosts () {
  local name=$1 data_centre=$2 domain=$3 options=$4 host port kind=engine
  local service='' fencing=true
  case $options in *--ignore-fence*) fencing=false ;; esac
  case $options in
    *--service=*)
      kind=service
      service=$(sed 's/.*--service=\([^ ]*\).*/\1/' <<< "$options")
      ;;
  esac
  while read -r _ host port; do
    host=${host#host=} port=${port#port=}
    if [ "$host" = control ]; then
      echo "$port" > "$work/$name.control"
      continue
    fi
    echo "$port" > "$work/$host.port"
    printf '{"id":"%s","data_centre":"%s","domain":"%s",' \
      "$host" "$data_centre" "$domain"
    printf '"address":"127.0.0.1","port":%s,"kind":"%s",' "$port" "$kind"
    printf '"service":"%s","accelerators":8,"state":"live",' "$service"
    printf '"fencing":%s}\n' "$fencing"
  done < <(grep '^listening' "$work/$name.out") >> "$work/hosts.jsonl"
}

# Sends the host list to the platform.
fleet_publish_hosts () {
  curl -sf -X PUT "http://$platform/control/hosts" -o /dev/null \
    -H 'Content-Type: application/json' \
    --data "{\"hosts\":[$(paste -sd, "$work/hosts.jsonl")]}"
}

# fleet_start_entry HOST DATA_CENTRE: starts an entry host, writes its ports to
# $work/HOST.callers and $work/HOST.admin, and adds it to entries.
fleet_start_entry () {
  local host=$1 data_centre=$2
  cat > "$work/$host.yaml" << YAML
host: $host
data_centre: $data_centre
callers:
  address: 127.0.0.1
  port: 0
admin:
  address: 127.0.0.1
  port: 0
peers:
  address: 127.0.0.1
  port: 0
  seeds: [${fleet_seed:-}]
  keys: ["$fleet_key"]
platform:
  address: 127.0.0.1
  port: $platform_port
groups:
  load_ms: 500
  reload_ms: 200
drain:
  settle_ms: 500
test:
  faults: true
${fleet_settings:-}
YAML
  fleet_spawn "$host" "$build/packages/daemon/waxwinglinkd" \
    --settings "$work/$host.yaml"
  wait_for 20 grep -q 'event=started' "$work/$host.log"
  fleet_port "$host" callers_port > "$work/$host.callers"
  fleet_port "$host" admin_port > "$work/$host.admin"
  : "${fleet_seed:=127.0.0.1:$(fleet_port "$host" peers_port)}"
  entries+=(--entry "127.0.0.1:$(cat "$work/$host.admin")")
}

# fleet_port HOST FIELD: prints a port from the log of an entry host.
fleet_port () {
  sed -n "s/.*event=started .*$2=\([0-9]*\).*/\1/p" "$work/$1.log" | head -1
}

# fleet_callers_url HOST: prints the URL of an entry host for callers.
fleet_callers_url () {
  echo "http://127.0.0.1:$(cat "$work/$1.callers")"
}

# fleet_admin_url HOST: prints the URL of an entry host for administration.
fleet_admin_url () {
  echo "http://127.0.0.1:$(cat "$work/$1.admin")"
}

# fleet_has_serving_groups HOST N: true if an entry host reports at least N
# serving groups of its data centre.
fleet_has_serving_groups () {
  [ "$(curl -sf "$(fleet_admin_url "$1")/status" \
    | grep -o '"serving":"serving"' | wc -l)" -ge "$2" ]
}

# run_operator COMMAND...: runs the operators' command on this fleet.
run_operator () {
  "$build/packages/cli/waxwinglink" --platform "$platform" "${entries[@]}" \
    --operator "${operator_name:-test}" "$@"
}
