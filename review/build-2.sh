#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8: compiles each file, and checks that the deploy file's build
# has left the packages that the programs under test need. Run it after that build.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PY'
from pathlib import Path

for path in sorted([Path("stand_ins_2.py"), *Path(".").glob("[4-8]/case.py")]):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("built", path)
if not Path("../target/deps/.done").exists():
    raise SystemExit("target/deps is missing: run the build of deploy/system.toml first")
PY
