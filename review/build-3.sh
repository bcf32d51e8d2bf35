#!/bin/bash
# Builds what the scripts of the third review start beside the program of the deploy file. Their
# stand-ins are Python files that use the standard library only, so they are only checked here.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import glob
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for name in ["stand_ins_3.py"] + sorted(glob.glob("1[1-5]/case.py")):
    ast.parse(open(name).read(), name)
print("stand-ins of the third review: ready")
CHECK
