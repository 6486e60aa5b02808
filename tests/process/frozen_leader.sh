#!/usr/bin/env bash
# The control leader freezes (SIGSTOP) and is first in the operator's list: the
# command line goes on to the others, says so, and its change is taken once.
source "$(dirname "$0")/common.inc"
start_whole_site
leader=$(leader_number)
name=pid_c$leader
others=$(for i in 1 2 3; do [ "$i" = "$leader" ] || control_http "$i"; done | paste -sd,)
CONTROL_HTTP="$(control_http "$leader"),$others"
kill -STOP "${!name}"
sed 's/head-office/branch/; s/fonds-drafter/drafter-2/; s/record-abstracts/abstracts-2/; s/_mib": [0-9]*/_mib": 10/' \
  deploy/example_record.json >"$SITE_DIR/record.json"
ctl --timeout-ms=10000 apply "$SITE_DIR/record.json" >"$SITE_DIR/apply.out" 2>"$SITE_DIR/apply.err"
status=$?
kill -CONT "${!name}"
[ $status -eq 0 ] || { cat "$SITE_DIR/apply.err"; fail "the change was not taken"; }
grep -q "$(control_http "$leader") .* next" "$SITE_DIR/apply.err" || fail "no word of the silent daemon"
wait_for 20 has_leader
[ "$(ctl list | grep -c '^branch	')" -eq 1 ] || fail "the change is not there once"
