#!/usr/bin/env bash
# Start a local fleet on this machine; Ctrl-C stops it.
set -euo pipefail
cd "$(dirname "$0")/../.."
bin=${VENV:-.venv}/bin
fleet=run/fleet
"$bin/python" examples/local/make_fleet.py "$fleet"

pids=()
stop() {
  trap - EXIT INT TERM
  kill "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
}
trap stop EXIT
trap 'exit 0' INT TERM

start() {
  local name=$1
  shift
  "$bin/dogwoodmast" "$@" >"$fleet/$name.log" 2>&1 &
  pids+=($!)
}

start platform standin platform --listen 127.0.0.1:18300
start vm-list standin vm-list --listen 127.0.0.1:18301 --vms "$fleet/vms.json"
port=18200
for zone in plateau pikine almadies; do
  for number in 0 1; do
    start "balance-$zone-$number" standin backend \
      --name "balance-$zone-$number" --listen "127.0.0.1:$port"
    port=$((port + 1))
  done
  start "$zone-1" serve "$fleet/$zone-1.toml"
done

# Apply the configuration; retry until the platform is up.
for _ in $(seq 50); do
  "$bin/dogwoodmast" questionnaire apply examples/local/questionnaire.toml \
    --base 0 --platform http://127.0.0.1:18300 >"$fleet/apply.log" 2>&1 && break
  sleep 0.2
done
# Wait until each entry VM serves requests.
for port in 18000 18001 18002; do
  for _ in $(seq 100); do
    curl -sf -o /dev/null "http://127.0.0.1:$port/balance/member-7/washes" &&
      break
    sleep 0.1
  done
done
echo "The fleet is up: http://127.0.0.1:18000 (also 18001 and 18002). Try:"
echo "  curl -s http://127.0.0.1:18000/balance/member-7/washes"
echo "To inspect and change it, use another terminal:"
echo "  export DOGWOODMAST_PLATFORM=http://127.0.0.1:18300"
echo "  export DOGWOODMAST_ENTRIES='http://127.0.0.1:18000 http://127.0.0.1:18001 http://127.0.0.1:18002'"
echo "  $bin/dogwoodmast status"
echo "Stop it with Ctrl-C."
wait
