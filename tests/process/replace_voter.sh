#!/usr/bin/env bash
# A voter loses its disk. It must not start with an empty data folder, because
# the votes and entries that it has acknowledged are lost, and must join with a
# new identity. No change may be lost when a second VM fails afterwards.
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
  fail "a voter started with an empty data folder"
grep -q -- '--join' "$SITE_DIR/c$lost.log" || fail "the error does not mention --join"
start_control "$lost" --join
replaced() {
  local voters
  voters=$(ctl voters) && [ "$(grep -c '^voter' <<<"$voters")" -eq 3 ] &&
    grep -q "voter c$lost\.[0-9]" <<<"$voters"
}
wait_for 30 replaced || fail "c$lost does not become a voter again"
name=pid_c$leader
kill -9 "${!name}"
wait_for 20 has_leader || fail "no leader after the second failure"
ctl list | grep -q '^head-office' || fail "the record was lost"
