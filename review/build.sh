#!/usr/bin/env bash
# The stand-ins of the scripts are in Python, which scripts/setup.sh installs, and use its standard library only. Nothing
# is compiled; this checks that the interpreter is there and reads them.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.py [1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
