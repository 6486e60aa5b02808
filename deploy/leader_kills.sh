#!/usr/bin/env bash
# Kills the control leader repeatedly with kill -9 and measures the time until
# another control VM leads. Prints the median and the maximum.
set -uo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-build/bin}
KILLS=${KILLS:-21}
source deploy/local_site.sh
BASE_PORT=$(find_base_port)
SITE_DIR=$(mktemp -d)
CONTROL_FLAGS=()
ENTRY_FLAGS=(--key-lifetime-ms=3000 --max-timeout-ms=3000
  --default-timeout-ms=3000)
trap 'stop_site; rm -rf "$SITE_DIR"' EXIT
plan_site 3 3
start_site 2>/dev/null
wait_for_entries

now_ms() { date +%s%3N; }

# Prints the number of the control VM that leads, ignoring VM $1. Prints nothing
# without a leader.
leader_except() {
  local i
  for i in 1 2 3; do
    [ "$i" = "$1" ] && continue
    curl -s -m 1 "http://$(control_http "$i")/v1/leader" |
      grep -q '"is_leader":true' && echo "$i" && return
  done
}

times=()
for _ in $(seq "$KILLS"); do
  wait_for 10 has_leader
  sleep 0.5
  leader=$(leader_number)
  name=pid_c$leader
  begin=$(now_ms)
  { kill -9 "${!name}" && wait "${!name}"; } 2>/dev/null
  until [ -n "$(leader_except "$leader")" ]; do sleep 0.005; done
  times+=($(($(now_ms) - begin)))
  start_control "$leader"
done
printf '%s\n' "${times[@]}" | sort -n | awk -v n="$KILLS" \
  '{v[NR] = $1} END {printf "time without a leader over %d kills: median %d ms, worst %d ms\n", n, v[int((n + 1) / 2)], v[n]}'
