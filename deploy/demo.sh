#!/usr/bin/env bash
# Demonstrates a whole site on loopback: one control VM, two entries, simulated
# backend servers, a record, and requests with curl. Stops all processes at the
# end.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-build/bin}
BASE_PORT=${BASE_PORT:-27000}
SITE_DIR=$(mktemp -d)
CONTROL_FLAGS=()
ENTRY_FLAGS=(--directory-ttl-ms=1000 --key-lifetime-ms=3000
  --max-timeout-ms=3000 --default-timeout-ms=3000)
source deploy/local_site.sh
trap 'stop_site; rm -rf "$SITE_DIR"' EXIT

plan_site 1 2
start_site
start_backends --engines=3 --service-servers=1 --load-ms=200
wait_for_entries

echo "== an operator applies a record"
ctl apply deploy/example_record.json --wait
wait_for 30 all_models_serve
wait_for 30 model_answers 1 fonds-drafter
wait_for 30 model_answers 1 record-abstracts:reading-room
ctl status

entry=$(entry_http 1)
echo "== a caller requests the directory of entries"
curl -s "http://$entry/v1/entries"
echo "== models"
curl -s "http://$entry/v1/models"
echo "== an answer without streaming"
curl -s "http://$entry/v1/chat/completions" -H 'Content-Type: application/json' \
  -d '{"model":"fonds-drafter","max_tokens":8,"messages":[{"role":"user","content":"fonds-17 describe"}]}'
echo "== a streamed answer"
curl -sN "http://$entry/v1/chat/completions" -H 'Content-Type: application/json' \
  -d '{"model":"record-abstracts:reading-room","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"abstract-9 please"}]}'
echo "== a service request with an idempotency key, sent twice and executed once"
sleep 3
for _ in 1 2; do
  curl -s -i "http://$(entry_http 2)/v1/services/counter/loans" \
    -H 'Idempotency-Key: loan-1' -d 'loan 4711' | tr -d '\r' |
    grep -E '^HTTP|^Idempotency|^\{'
done
echo "== an error"
curl -s "http://$entry/v1/chat/completions" -d '{"model":"nobody","messages":[]}'
stop_site
echo "== all processes stopped; counters of the backend servers:"
cat "$SITE_DIR/backends.out"
