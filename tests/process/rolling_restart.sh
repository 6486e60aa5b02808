#!/usr/bin/env bash
# Restarts every entry in turn under load, by the procedure of the operators'
# manual. No request may be interrupted, rejected or fail to reach an entry.
source "$(dirname "$0")/common.inc"
start_whole_site
start_load 18 60
for i in 1 2 3; do
  name=pid_e$i
  kill "${!name}"
  wait_for 20 eval "! kill -0 ${!name} 2>/dev/null" || fail "e$i does not exit"
  start_entry "$i"
  wait_for 20 entry_grants_claims "$i" || fail "e$i grants no claims after its restart"
done
finish_load
[ "$(load_figure cut)" -eq 0 ] || fail "requests were interrupted"
[ "$(load_figure unreached)" -eq 0 ] || fail "requests reached no entry"
[ "$(load_figure refused)" -eq 0 ] || fail "requests were rejected"
