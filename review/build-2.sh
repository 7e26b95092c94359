#!/bin/sh
# Builds what the scripts of the second review start beside the router: nothing has to be compiled, as all stand-ins are
# Python and use its standard library alone. Checks that the interpreter is there and that all files compile.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for file in stand2/fleet.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    if [ -e "$file" ]; then
        python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
    fi
done
echo "stand-ins: ready"
