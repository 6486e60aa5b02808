#!/usr/bin/env bash
# Benchmarks the sites Sofia and Denmark, in the sizes given by the
# requirements, on loopback and prints the results. Each site compares the
# routing policies in the same run. The reports of the load generator go to
# bench-out/ as JSON. Takes about four minutes.
set -uo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-build/bin}
OUT=bench-out
SECONDS_EACH=${SECONDS_EACH:-8}
RATE=${RATE:-150}
mkdir -p "$OUT"
source deploy/local_site.sh
SITE_DIR=$(mktemp -d)
trap 'stop_site; rm -rf "$SITE_DIR"' EXIT
ACCELERATORS=12

# Prints field $1 of the JSON in file $2; nested fields as a.b.
field() {
  local name=${1##*.} scope=${1%.*} text
  text=$(cat "$2")
  [ "$scope" != "$1" ] && text=$(grep -o "\"$scope\":{[^}]*}" <<<"$text")
  grep -o "\"$name\":[0-9.e+-]*" <<<"$text" | head -1 | cut -d: -f2
}

# Prints the CPU time of process $1 in ms.
cpu_ms() {
  awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) * 1000 / hz}' "/proc/$1/stat"
}

# Prints the resident memory of process $1 in MiB.
rss_mib() {
  awk '/VmRSS/{printf "%.1f", $2 / 1024}' "/proc/$1/status"
}

# Prints the total CPU time of all entries in ms.
entries_cpu_ms() {
  local sum=0 i name
  for i in $(seq "$ENTRY_COUNT"); do
    name=pid_e$i
    sum=$(awk -v a="$sum" -v b="$(cpu_ms "${!name}")" 'BEGIN{print a + b}')
  done
  echo "$sum"
}

# Kills the entries and restarts them with additional flags.
restart_entries() {
  local i name
  for i in $(seq "$ENTRY_COUNT"); do
    name=pid_e$i
    kill -9 "${!name}" 2>/dev/null
    wait "${!name}" 2>/dev/null
  done
  for i in $(seq "$ENTRY_COUNT"); do start_entry "$i" "$@"; done
  wait_for_entries
  sleep 3
}

# Runs the load generator and prints a row: LABEL RATE FLAGS...
run_load() {
  local label=$1 rate=$2 file
  shift 2
  file=$OUT/$SITE-$label.json
  local before after
  before=$(entries_cpu_ms)
  "$BIN/ebony_load" --entries="$ENTRY_HTTP" --rate="$rate" --burst \
    --seconds="$SECONDS_EACH" --timeout-ms=1000 --json \
    --judge="$(admin_http)" "$@" >"$file"
  after=$(entries_cpu_ms)
  awk -v site="$SITE" -v label="$label" -v rate="$rate" \
    -v attainment="$(field attainment "$file")" -v sent="$(field sent "$file")" \
    -v in_time="$(field in_time "$file")" -v seconds="$SECONDS_EACH" \
    -v urgent="$(field attainment_by_class.urgent "$file")" \
    -v p50="$(field first_token_ms.p50 "$file")" \
    -v p99="$(field first_token_ms.p99 "$file")" \
    -v gap="$(field token_gap_ms.p95 "$file")" -v wrong="$(field wrong "$file")" \
    -v accelerators="$ACCELERATORS" -v cpu="$(awk -v a="$before" -v b="$after" 'BEGIN{print b - a}')" \
    'BEGIN {
      bar = ""; for (i = 0; i < attainment * 20; i++) bar = bar "#"
      printf "%-8s %-18s rate %4d  in time %5.1f%% %-20s urgent %5.1f%%  per accelerator %.4f  goodput %5.1f/s  first token p50 %5.1f p99 %6.1f ms  gap p95 %4.1f ms  %5.0f requests/s per entry core  wrong %d\n",
        site, label, rate, attainment * 100, bar, urgent * 100, attainment / accelerators, in_time / seconds, p50, p99, gap, sent / (cpu / 1000), wrong
    }'
}

# Prints the median time to the first token through an entry and directly at an
# engine, for model $1.
measure_added_latency() {
  local model=$1 engine
  engine=$(ctl status --json | grep -o '"address":"[^"]*","suspected":false,"leaving":false,"checks_fencing":true,"accelerators":\[{[^]]*"resident":\["[^]]*'"$model"'@' |
    head -1 | cut -d'"' -f4)
  local flags=(--seconds=4 --rate=15 --model="$model" --keyed-percent=0
    --service-percent=0 --timeout-ms=1000 --tokens=8 --json)
  # A first run of each fills the prefix caches of the engines.
  "$BIN/ebony_load" --entries="$engine" --direct "${flags[@]}" >/dev/null
  "$BIN/ebony_load" --entries="$(entry_http 1)" --direct "${flags[@]}" >/dev/null
  "$BIN/ebony_load" --entries="$engine" --direct "${flags[@]}" >"$OUT/$SITE-direct.json"
  "$BIN/ebony_load" --entries="$(entry_http 1)" --direct "${flags[@]}" >"$OUT/$SITE-through.json"
  awk -v d="$(field first_token_ms.p50 "$OUT/$SITE-direct.json")" \
    -v t="$(field first_token_ms.p50 "$OUT/$SITE-through.json")" -v s="$SITE" \
    'BEGIN{printf "%-8s first token p50: direct %.2f ms, through an entry %.2f ms, added %.2f ms\n", s, d, t, t - d}'
}

# Prints the CPU use and link traffic of an entry and of the leader without
# requests.
print_idle() {
  local seconds=6 name i before after bytes_before bytes_after
  link_bytes() {
    curl -s "http://$1/metrics" | awk '/^ebony_link_(sent|received)_bytes_total/{s += $2} END{print s}'
  }
  before=$(cpu_ms "$pid_e4")
  bytes_before=$(link_bytes "$(entry_http 4)")
  local leader=$(leader_number)
  name=pid_c$leader
  local leader_before=$(cpu_ms "${!name}") leader_bytes=$(link_bytes "$(control_http "$leader")")
  sleep $seconds
  after=$(cpu_ms "$pid_e4")
  bytes_after=$(link_bytes "$(entry_http 4)")
  awk -v s=$seconds -v site="$SITE" -v c="$before" -v d="$after" -v b="$bytes_before" -v e="$bytes_after" \
    -v lc="$leader_before" -v ld="$(cpu_ms "${!name}")" -v lb="$leader_bytes" -v le="$(link_bytes "$(control_http "$leader")")" \
    'BEGIN{printf "%-8s idle: an entry %.2f%% of a core, %.2f KiB/s on its links; the leader %.2f%%, %.2f KiB/s\n", site, (d - c) / s / 10, (e - b) / s / 1024, (ld - lc) / s / 10, (le - lb) / s / 1024}'
}

# Prints the resident memory of each control and entry VM.
print_memory() {
  local i name text=""
  for i in $(seq "$CONTROL_COUNT"); do name=pid_c$i; text+=" c$i $(rss_mib "${!name}")"; done
  for i in $(seq "$ENTRY_COUNT"); do name=pid_e$i; text+=" e$i $(rss_mib "${!name}")"; done
  echo "$SITE resident memory, MiB:$text"
}

# Sums a counter over the control VMs.
control_counter() {
  local i
  for i in $(seq "$CONTROL_COUNT"); do
    curl -s "http://$(control_http "$i")/metrics"
  done | awk -v name="$1" '$1 == name {s += $2} END {print s + 0}'
}

# Prints the numbers of weight loads, unloads and moves of replicas.
print_moves() {
  local report
  report=$(curl -s "http://$(admin_http)/report")
  echo "$SITE moves: loads $(control_counter ebony_control_loads_total), unloads $(control_counter ebony_control_unloads_total), shifts $(control_counter ebony_control_shifts_total); overfilled $(grep -o '"overfilled":[0-9]*' <<<"$report" | cut -d: -f2), doubled keys $(grep -o '"doubled_keys":[0-9]*' <<<"$report" | cut -d: -f2)"
}

# Starts a site and waits until its models serve: NAME RECORD LOADS-AT-ONCE
start_bench_site() {
  SITE=$1
  BASE_PORT=$(find_base_port)
  CONTROL_FLAGS=(--loads-at-once="$3" --loads-per-second=1.6)
  ENTRY_FLAGS=(--directory-ttl-ms=1000 --key-lifetime-ms=4000
    --max-timeout-ms=4000 --default-timeout-ms=4000)
  plan_site 3 7
  start_site
  start_backends --engines=12 --service-servers=3 --load-ms=400 \
    --loads-per-second=1.6 --loads-at-full-speed="$3"
  wait_for_entries
  ctl apply "$2" --wait >/dev/null
  wait_for 90 all_models_serve
  sleep 4
}

# Drains a backend server, prints the totals of the site and stops it.
finish_bench_site() {
  # Draining a backend server moves its replicas to others.
  ctl drain engine-0 >/dev/null
  sleep 12
  print_moves
  print_memory
  stop_site
  rm -rf "$SITE_DIR"/*
}

# Runs all benchmarks of a site: NAME RECORD LOADS-AT-ONCE MODEL
bench_site() {
  start_bench_site "$@"
  print_idle
  measure_added_latency "$4"
  run_load expected-wait "$RATE"
  restart_entries --routing=least-outstanding
  run_load least-outstanding "$RATE"
  restart_entries --routing=round-robin
  run_load round-robin "$RATE"
  for off in prefix,distance reports,distance reports,prefix; do
    restart_entries --routing-signals=$off
    run_load "only-$off" "$RATE"
  done
}

bench_site sofia deploy/sofia_record.json 9 loan-status-1
finish_bench_site
bench_site denmark deploy/denmark_record.json 2 alarm-lookup-1
restart_entries
for factor in 0.5 1 2 3; do
  run_load "overload-$factor" "$(awk -v r="$RATE" -v f=$factor 'BEGIN{print int(2.5 * r * f)}')"
done
finish_bench_site
