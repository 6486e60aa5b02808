#!/usr/bin/env bash
# kill -9 of one entry under load: callers that follow the directory get no
# wrong answer, nothing runs twice, and "not run" is true.
source "$(dirname "$0")/common.inc"
start_whole_site
start_load 6 80
sleep 2
kill -9 "$pid_e2"
finish_load
[ "$(load_figure whole)" -gt 300 ] || fail "too few whole answers"
