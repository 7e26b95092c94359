#!/usr/bin/env bash
# Prepares the stand-ins of cases 11 to 15. They are written in Python and need no build; this checks that they can start.
# The routers are those of the deploy file's build, in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/harness-3/*.py review/1[1-5]/*.py <<'PY'
import ast
import sys

if sys.version_info < (3, 9):
    sys.exit("python3 is older than 3.9")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PY
test -x target/camphorshuntrouter || echo "target/camphorshuntrouter is missing: run the build of deploy/system.toml"
