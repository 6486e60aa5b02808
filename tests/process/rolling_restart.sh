#!/usr/bin/env bash
# A planned stop and restart of every entry, one after another as the operators'
# page says, under load: nothing is cut off, refused or left without an entry.
source "$(dirname "$0")/common.inc"
start_whole_site
start_load 18 60
for i in 1 2 3; do
  name=pid_e$i
  kill "${!name}"
  wait_for 20 eval "! kill -0 ${!name} 2>/dev/null" || fail "e$i does not stop"
  start_entry "$i"
  wait_for 20 entry_grants_claims "$i" || fail "e$i does not come back"
done
finish_load
[ "$(load_figure cut)" -eq 0 ] || fail "requests were cut off"
[ "$(load_figure unreached)" -eq 0 ] || fail "requests reached no entry"
[ "$(load_figure refused)" -eq 0 ] || fail "requests were refused"
