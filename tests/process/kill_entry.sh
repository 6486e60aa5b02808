#!/usr/bin/env bash
# One entry is killed with kill -9 under load. Callers that use the directory
# must receive no wrong answer, no request with a key may be executed twice, and
# no request reported as not run may have been executed.
source "$(dirname "$0")/common.inc"
start_whole_site
start_load 6 80
sleep 2
kill -9 "$pid_e2"
finish_load
[ "$(load_figure whole)" -gt 300 ] || fail "too few complete answers"
