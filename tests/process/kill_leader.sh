#!/usr/bin/env bash
# The control leader is killed with kill -9 during a series of record changes.
# No acknowledged change may be lost.
source "$(dirname "$0")/common.inc"
start_whole_site
acknowledged=()
for round in $(seq 12); do
  if ((round % 4 == 0)); then
    leader=$(leader_number)
    name=pid_c$leader
    kill -9 "${!name}"
    start_control "$leader"
  fi
  sed "s/head-office/office-$round/; s/fonds-drafter/drafter-$round/; s/record-abstracts/abstracts-$round/; s/_mib\": [0-9]*/_mib\": 10/" \
    deploy/example_record.json >"$SITE_DIR/record.json"
  if ctl apply "$SITE_DIR/record.json" >/dev/null; then
    acknowledged+=("office-$round")
  fi
done
[ ${#acknowledged[@]} -eq 12 ] || fail "only ${#acknowledged[@]} changes were accepted"
wait_for 20 has_leader
list=$(ctl list) || fail "the records cannot be listed"
for name in "${acknowledged[@]}"; do
  grep -q "^$name	" <<<"$list" || fail "$name was acknowledged and was lost"
done
