#!/usr/bin/env bash
# Runs clang-tidy on the sources of a configured build folder.
# Usage: check_lint.sh BUILD_DIR [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
  mapfile -t files < <(git ls-files 'src/*.cpp' 'platform/*.cpp' | grep -v -e '/generated/' -e '^src/tests/')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" 2>/dev/null
