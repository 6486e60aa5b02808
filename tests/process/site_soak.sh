#!/usr/bin/env bash
# Runs the site's programs as processes, first without faults and then with
# injected faults.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-build/bin}
"$BIN/ebony_site_soak" "$BIN" 1 4 calm || exit 1
"$BIN/ebony_site_soak" "$BIN" 7 12
