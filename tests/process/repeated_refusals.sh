#!/usr/bin/env bash
# Servers write refusals a second time, also after they have appeared under new
# ids: no stream runs twice, and none that runs is called refused.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-build/bin}
status=0
"$BIN/ebony_site_soak" "$BIN" 1 copies || status=1
"$BIN/ebony_site_soak" "$BIN" 2 copies moved again || status=1
exit $status
