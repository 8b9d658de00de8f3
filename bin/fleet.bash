# Functions that start a fleet of two failure domains with stand-ins on free loopback ports, for scripts in this folder.
# A script sets fleet_name, describes what it does in step, and sets result=0 when it has succeeded.

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
folder="$(mktemp -d)"
step="start"
result=1
# Messages go to a copy of the standard output, because a trap runs with the redirections of the command it interrupts.
exec 3>&1
declare -A pids=()

domains=(galway-yard galway-yard dublin-office dublin-office)
database=jobs
caller=fitter-tablets

standins() { timeout 30 "$root/bin/standins" "$@"; }
hibiscusreach() { timeout 30 "$root/bin/hibiscusreach" "$@"; }

# Starts a process in the background and remembers its id under a name.
launch() {
  local name=$1
  shift
  "$@" >"$folder/$name.log" 2>&1 3>&- &
  pids[$name]=$!
}

# Ends exactly the processes that this script started.
finish() {
  local pid
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if ((result == 0)); then
    echo "$fleet_name: passed" >&3
  else
    tail -n 5 "$folder"/*.log >&2 || true
    echo "$fleet_name: failed at step '$step'" >&3
  fi
  rm -rf "$folder"
  exit "$result"
}
trap finish EXIT
trap 'exit 1' INT TERM

fail() {
  echo "$step: $1" >&3
  exit 1
}

observe() { echo "$step: $1" >&3; }

# Repeats a command until it succeeds or the seconds are over.
within() {
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    ((SECONDS < end)) || return 1
    sleep 0.1
  done
}

write_settings() {
  local index=$1
  cat >"$folder/proxy-$index.settings" <<SETTINGS
{
  "failureDomain": "${domains[$index]}",
  "callerAddress": "127.0.0.1:${caller_ports[$index]}",
  "operationsAddress": "127.0.0.1:${operations_ports[$index]}",
  "peerAddress": "127.0.0.1:${peer_ports[$index]}",
  "platformAddresses": ["127.0.0.1:$platform_port"],
  "seedAddresses": ["127.0.0.1:${peer_ports[0]}", "127.0.0.1:${peer_ports[2]}"],
  "tokenKey": "$token_key"
}
SETTINGS
}

write_inventory() {
  local limit=$1 server substitutions=()
  for server in 1 2 3; do
    substitutions+=(-e "s/SESSION_PORT_$server/${session_ports[$server]}/")
    substitutions+=(-e "s/CONTROL_PORT_$server/${control_ports[$server]}/")
  done
  sed "${substitutions[@]}" -e "s/CONNECTION_LIMIT/$limit/" "$root/examples/demo/inventory.json" \
    >"$folder/inventory.json"
}

host_list() {
  local index separator=""
  printf '['
  for index in 0 1 2 3; do
    printf '%s{"peerEndpoint":{"address":"127.0.0.1","port":%s},"failureDomain":"%s"}' \
      "$separator" "${peer_ports[$index]}" "${domains[$index]}"
    separator=","
  done
  printf ']'
}

load() {
  hibiscusreach load --settings "$folder/proxy-0.settings" --inventory "$folder/inventory.json" \
    --rules "$root/examples/demo/rules.json" >"$folder/load.log" 2>&1 || fail "the files were not accepted"
}

# The state of all proxies, one line each.
states() { standins admin GET "${operations[@]/%//state}" 2>/dev/null || true; }

# Only the homes of a database monitor it and know its primary.
find_primary() {
  primary="$(states | grep -Eo '"primary": ?"[^"]+"' | head -n 1 | cut -d '"' -f 4)" || true
  [[ -n "$primary" ]]
}

# Runs the driver in place of the calling shell; to be launched.
drive() {
  local index targets=()
  for index in 0 1 2 3; do
    targets+=(--proxy "127.0.0.1:${caller_ports[$index]}=127.0.0.1:${operations_ports[$index]}")
  done
  exec "$root/bin/standins" drive "${targets[@]}" --database "$database" --caller "$caller" \
    --maximum-age-millis 2000 "$@"
}

ended() { ! kill -0 "$1" 2>/dev/null; }

# Waits for a process and fails if it did not end well within a minute.
expect_success() {
  local pid=${pids[$1]}
  within 60 ended "$pid" || fail "$1 did not end"
  unset "pids[$1]"
  wait "$pid" || fail "$2: $(tail -n 5 "$folder/$1.log" | tr '\n' ' ')"
}

choose_ports() {
  mapfile -t ports < <(standins ports 23)
  ((${#ports[@]} == 23)) || fail "no free ports"
  platform_port=${ports[0]}
  platform_admin_port=${ports[1]}
  caller_ports=("${ports[@]:2:4}")
  operations_ports=("${ports[@]:6:4}")
  operations=("${operations_ports[@]/#/127.0.0.1:}")
  peer_ports=("${ports[@]:10:4}")
  session_ports=("" "${ports[@]:14:3}")
  control_ports=("" "${ports[@]:17:3}")
  admin_ports=("" "${ports[@]:20:3}")
  token_key="$(head -c 32 /dev/urandom | base64)"
}

start_fleet() {
  local server peer peers index
  launch platform "$root/bin/standins" platform --listen "127.0.0.1:$platform_port" \
    --admin "127.0.0.1:$platform_admin_port" --host-list-lag-millis 1000
  for server in 1 2 3; do
    peers=()
    for peer in 1 2 3; do
      if ((peer != server)); then peers+=(--peer "jobs-$peer=127.0.0.1:${control_ports[$peer]}"); fi
    done
    launch "jobs-$server" "$root/bin/standins" server "${peers[@]}" --connection-limit 40 \
      --server "jobs-$server=${session_ports[$server]},${control_ports[$server]},${admin_ports[$server]}"
  done
  for index in 0 1 2 3; do
    write_settings "$index"
    launch "proxy-$index" "$root/bin/hibiscusreach" run --settings "$folder/proxy-$index.settings"
  done
  standins admin PUT "127.0.0.1:$platform_admin_port/hosts" --body "$(host_list)" --wait-millis 10000 >/dev/null ||
    fail "the platform does not answer"
}
