#!/usr/bin/env bash
# The control leader is stopped with SIGSTOP and is the first address of the
# command line. The command line must report the failed attempt, try the other
# addresses, and have its change applied exactly once.
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
[ $status -eq 0 ] || { cat "$SITE_DIR/apply.err"; fail "the change was not accepted"; }
grep -q "$(control_http "$leader") .* next" "$SITE_DIR/apply.err" || fail "the failed attempt at the stopped leader is not reported"
wait_for 20 has_leader
[ "$(ctl list | grep -c '^branch	')" -eq 1 ] || fail "the change was not applied exactly once"
