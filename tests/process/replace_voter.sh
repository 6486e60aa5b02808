#!/usr/bin/env bash
# A voter loses its disk: it must not start on an empty folder, joins under a
# new identity, and the loss of a second VM right after takes no change with it.
source "$(dirname "$0")/common.inc"
start_whole_site
leader=$(leader_number)
lost=$((leader % 3 + 1))
name=pid_c$lost
kill -9 "${!name}"
rm -rf "$SITE_DIR/data-c$lost"
start_control "$lost"
name=pid_c$lost
wait_for 10 eval "! kill -0 ${!name} 2>/dev/null" ||
  fail "a voter started on an empty folder"
grep -q -- '--join' "$SITE_DIR/c$lost.log" || fail "the error names no way out"
start_control "$lost" --join
replaced() {
  local voters
  voters=$(ctl voters) && [ "$(grep -c '^voter' <<<"$voters")" -eq 3 ] &&
    grep -q "voter c$lost\.[0-9]" <<<"$voters"
}
wait_for 30 replaced || fail "the new disk does not become a voter"
name=pid_c$leader
kill -9 "${!name}"
wait_for 20 has_leader || fail "no leader after the second loss"
ctl list | grep -q '^head-office' || fail "the record is lost"
