#!/usr/bin/env bash
# Installs the packages, builds everything and runs the demonstration.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "$(id -u)" -eq 0 ]; then
  scripts/install_packages.sh
else
  sudo scripts/install_packages.sh
fi
cmake --preset release
cmake --build --preset release
scripts/demo.sh build/release
