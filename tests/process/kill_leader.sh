#!/usr/bin/env bash
# kill -9 of the control leader during a stream of record changes: every
# acknowledged change is there at the end.
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
[ ${#acknowledged[@]} -eq 12 ] || fail "only ${#acknowledged[@]} changes were taken"
wait_for 20 has_leader
list=$(ctl list) || fail "list"
for name in "${acknowledged[@]}"; do
  grep -q "^$name	" <<<"$list" || fail "$name was acknowledged and is lost"
done
