#!/usr/bin/env bash
# Builds every stand-in that a script starts. They are Python, of the standard
# library alone: this checks that they compile. Needs python3 (3.9 or newer).
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib, sys
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("compiles:", path)
PY
