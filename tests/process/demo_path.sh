#!/usr/bin/env bash
# Runs the demo of the README. Each step must answer as docs/API.md specifies.
set -uo pipefail
cd "$(dirname "$0")/../.."
source deploy/local_site.sh
BASE_PORT=$(find_base_port)
out=$(BIN=${BIN:-build/bin} BASE_PORT=$BASE_PORT timeout 120 bash deploy/demo.sh) || exit 1
# Fails unless the output of the demo matches the pattern $1.
check() {
  grep -q "$1" <<<"$out" || { echo "missing: $1"; echo "$out"; exit 1; }
}
check '"id":"record-abstracts:reading-room"'
check 'fonds-17.8 '
check '^data: \[DONE\]'
check '^Idempotency-Replayed: true'
check '"code":"unknown_model"'
check '"runs":{"loan-1":1}'
