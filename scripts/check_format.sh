#!/usr/bin/env bash
# Fails when a source file differs from clang-format's output.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files 'src/*.h' 'src/*.cpp' 'platform/*.h' 'platform/*.cpp' | grep -v '/generated/' |
  xargs clang-format --dry-run --Werror
