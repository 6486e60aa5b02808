#!/usr/bin/env bash
# Brittle servers under more load than they can run fall over no more often than
# allowed, and no request is accused of it.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-build/bin}
status=0
"$BIN/ebony_site_soak" "$BIN" 1 brittle || status=1
"$BIN/ebony_site_soak" "$BIN" 2 brittle alike faults || status=1
exit $status
