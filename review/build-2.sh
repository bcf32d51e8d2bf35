#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python, so the build only checks that they
# compile. The program under test is built by the line `build` of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
for file in stand_ins_2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    if [ -f "$file" ]; then
        PYTHONPYCACHEPREFIX="$cache" python3 -m py_compile "$file"
    fi
done
