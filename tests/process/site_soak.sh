#!/usr/bin/env bash
# The site's programs as processes: a calm run, and a short run under faults.
set -uo pipefail
cd "$(dirname "$0")/../.."
BIN=${BIN:-build/bin}
"$BIN/ebony_site_soak" "$BIN" 1 4 calm || exit 1
"$BIN/ebony_site_soak" "$BIN" 7 12
