# Functions that run a whole site on loopback, to be sourced by other scripts.
# These must set SITE_DIR (working folder), BIN (folder of the programs),
# BASE_PORT, and the flags CONTROL_FLAGS and ENTRY_FLAGS.

site_pids=()

# Prints the address of port BASE_PORT + $1.
site_address() {
  echo "127.0.0.1:$((BASE_PORT + $1))"
}

# Prints a base port that is followed by 64 unused ports.
find_base_port() {
  local base port
  for base in $(seq 20000 100 30000 | shuf); do
    for port in $(seq $((base + 1)) $((base + 64))); do
      if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then continue 2; fi
    done
    echo "$base"
    return
  done
}

# Print the addresses of control VM $1 (1 to 5), of entry VM $1, and the admin
# address of the simulated backend servers.
control_link() { site_address "$1"; }
control_http() { site_address $((10 + $1)); }
entry_link() { site_address $((20 + $1)); }
entry_http() { site_address $((40 + $1)); }
admin_http() { site_address 60; }

# Sets the address lists for $1 control VMs and $2 entry VMs in three data
# centres.
plan_site() {
  CONTROL_COUNT=$1
  ENTRY_COUNT=$2
  local i items=()
  for i in $(seq "$1"); do items+=("c$i=$(control_link "$i")"); done
  VOTERS=$(IFS=,; echo "${items[*]}")
  items=()
  for i in $(seq "$1"); do items+=("$(control_http "$i")"); done
  CONTROL_HTTP=$(IFS=,; echo "${items[*]}")
  items=()
  for i in $(seq "$2"); do
    items+=("e$i@dc$(((i - 1) % 3 + 1))=$(entry_link "$i")/$(entry_http "$i")")
  done
  ENTRIES=$(IFS=,; echo "${items[*]}")
  items=()
  for i in $(seq "$2"); do items+=("e$i"); done
  ENTRY_NAMES=$(IFS=,; echo "${items[*]}")
  items=()
  for i in $(seq "$2"); do items+=("$(entry_http "$i")"); done
  ENTRY_HTTP=$(IFS=,; echo "${items[*]}")
}

# Starts a program in the background: NAME COMMAND... Its process id is stored
# in pid_NAME.
start_program() {
  local name=$1
  shift
  "$@" >"$SITE_DIR/$name.out" 2>>"$SITE_DIR/$name.log" &
  printf -v "pid_$name" %s $!
  site_pids+=($!)
}

# Starts control VM $1 with additional flags.
start_control() {
  local i=$1
  shift
  start_program "c$i" "$BIN/ebony_control" --vm="c$i" \
    --data-centre="dc$(((i - 1) % 3 + 1))" \
    --link-address="$(control_link "$i")" \
    --http-address="$(control_http "$i")" --voters="$VOTERS" \
    --entries="$ENTRY_NAMES" --data-dir="$SITE_DIR/data-c$i" \
    "${CONTROL_FLAGS[@]}" "$@"
}

# Initialises the data folder of control VM $1.
init_control() {
  local i=$1
  "$BIN/ebony_control" --init --vm="c$i" --data-centre=dc1 \
    --link-address="$(control_link "$i")" \
    --http-address="$(control_http "$i")" --voters="$VOTERS" \
    --entries="$ENTRY_NAMES" --data-dir="$SITE_DIR/data-c$i"
}

# Starts entry VM $1 with additional flags.
start_entry() {
  local i=$1
  shift
  start_program "e$i" "$BIN/ebony_entry" --vm="e$i" \
    --data-centre="dc$(((i - 1) % 3 + 1))" \
    --link-address="$(entry_link "$i")" --http-address="$(entry_http "$i")" \
    --voters="$VOTERS" --entries="$ENTRIES" "${ENTRY_FLAGS[@]}" "$@"
}

# Starts the simulated backend servers with additional flags.
start_backends() {
  start_program backends "$BIN/ebony_fake_backends" --entries="$ENTRY_HTTP" \
    --admin-address="$(admin_http)" "$@"
}

# Initialises and starts all control VMs, and starts all entry VMs.
start_site() {
  local i
  for i in $(seq "$CONTROL_COUNT"); do
    init_control "$i"
    start_control "$i"
  done
  for i in $(seq "$ENTRY_COUNT"); do start_entry "$i"; done
}

# Runs the operator's command line.
ctl() {
  "$BIN/ebonyctl" --control="$CONTROL_HTTP" "$@"
}

# Waits until a command succeeds: SECONDS COMMAND... Fails on a timeout.
wait_for() {
  local limit=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS >= limit)); then
      echo "timed out waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

# Succeeds when entry VM $1 serves callers.
entry_is_ready() {
  curl -sf "http://$(entry_http "$1")/readyz"
}

# Succeeds once entry VM $1 grants claims, which a restarted entry does only
# after the lifetime of a key.
entry_grants_claims() {
  [ "$(curl -sf "http://$(entry_http "$1")/readyz")" = "ready, grants claims" ]
}

# Prints the number of the control VM that leads. Prints nothing without a
# leader.
leader_number() {
  ctl leader 2>/dev/null | grep -o '"vm":"c[0-9]*".*"is_leader":true' |
    grep -o '"vm":"c[0-9]*' | grep -o '[0-9]*$' | head -1
}

has_leader() { [ -n "$(leader_number)" ]; }

wait_for_entries() {
  local i
  for i in $(seq "$ENTRY_COUNT"); do wait_for 20 entry_is_ready "$i"; done
}

# Succeeds when entry VM $1 answers a request for model $2. The status is not
# sufficient: it lists no missing replicas until the leader has planned.
model_answers() {
  curl -sf "http://$(entry_http "$1")/v1/chat/completions" \
    -H 'Content-Type: application/json' \
    -d "{\"model\":\"$2\",\"max_tokens\":1,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}"
}

# Succeeds when the status lists no model that lacks a replica.
all_models_serve() {
  local status
  status=$(ctl status --json) &&
    ! grep -q 'no replica serves\|fewer replicas' <<<"$status"
}

# Sends SIGTERM to all processes, and SIGKILL to a process that is still running
# 10 s later.
stop_site() {
  local pid
  for pid in "${site_pids[@]}"; do kill "$pid" 2>/dev/null; done
  for pid in "${site_pids[@]}"; do
    local limit=$((SECONDS + 10))
    while kill -0 "$pid" 2>/dev/null; do
      if ((SECONDS >= limit)); then
        kill -9 "$pid" 2>/dev/null
        break
      fi
      sleep 0.1
    done
  done
  site_pids=()
}
