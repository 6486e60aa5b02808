#!/usr/bin/env bash
# Malformed and unauthenticated calls must be rejected with the right status and
# must not change any state.
source "$(dirname "$0")/common.inc"
umask 077
echo "operator secret-operator" >"$SITE_DIR/operators"
echo "branch secret-branch" >"$SITE_DIR/callers"
echo "engine secret-engine" >"$SITE_DIR/engines"
CONTROL_FLAGS+=(--operator-key-file="$SITE_DIR/operators")
ENTRY_FLAGS+=(--caller-key-file="$SITE_DIR/callers"
  --backend-key-file="$SITE_DIR/engines")
plan_site 1 1
start_site
wait_for_entries || fail "the entry is not ready"
entry=http://$(entry_http 1)
control=http://$(control_http 1)

# Fails unless the call answers with the status: STATUS CURL-ARGUMENTS...
expect() {
  local wanted=$1 got
  shift
  got=$(curl -s -o "$SITE_DIR/answer" -w '%{http_code}' "$@")
  [ "$got" = "$wanted" ] || fail "$* answered $got, not $wanted: $(cat "$SITE_DIR/answer")"
}
chat=$entry/v1/chat/completions
caller=(-H 'Authorization: Bearer secret-branch')
operator=(-H 'Authorization: Bearer secret-operator')
expect 401 "$chat" -d '{"model":"m","messages":[]}'
expect 401 "$chat" -H 'Authorization: Bearer secret-brancH' -d '{}'
expect 400 "$chat" "${caller[@]}" -d 'no json'
expect 400 "$chat" "${caller[@]}" -d '{"messages":[]}'
expect 400 "$chat" "${caller[@]}" -d '{"model":"m"}'
expect 400 "$chat" "${caller[@]}" -H 'Priority: high' -d '{"model":"m","messages":[]}'
expect 400 "$chat" "${caller[@]}" -H 'X-Request-Timeout-Ms: 0' -d '{"model":"m","messages":[]}'
expect 404 "$chat" "${caller[@]}" -d '{"model":"m","messages":[]}'
expect 404 "$entry/v1/services/nothing/x" "${caller[@]}"
expect 404 "$entry/elsewhere"
head -c 2000000 /dev/zero >"$SITE_DIR/large"
expect 413 "$chat" "${caller[@]}" --data-binary "@$SITE_DIR/large"
expect 401 "$entry/v1/announcements" -d '{}'
expect 400 "$entry/v1/announcements" -H 'Authorization: Bearer secret-engine' -d '{"colour":"red"}'
expect 401 -X PUT "$control/v1/records/r" -d '{}'
expect 400 -X PUT "$control/v1/records/r" "${operator[@]}" -d '{}'
expect 400 -X PUT "$control/v1/records/r" "${operator[@]}" -H 'Idempotency-Key: k' -d '{"nam":"r"}'
expect 400 -X PUT "$control/v1/records/r" "${operator[@]}" -H 'Idempotency-Key: k2' \
  -d '{"name":"r","schema_version":1,"models":[{"name":"m"}]}'
expect 404 -X DELETE "$control/v1/records/r?revision=1" "${operator[@]}" -H 'Idempotency-Key: k3'
expect 404 -X POST "$control/v1/backends/b/drain" "${operator[@]}" -H 'Idempotency-Key: k4'
expect 200 "$control/v1/records" "${operator[@]}"
grep -q '"records":\[\]' "$SITE_DIR/answer" || fail "a rejected call created a record"
