#!/usr/bin/env bash
# Installs the Debian 12 packages that the build, the checks and the tests need.
set -euo pipefail
packages=(
  build-essential cmake ninja-build ccache pkg-config clang-format clang-tidy curl jq
  libpoco-dev libgrpc++-dev libprotobuf-dev libssl-dev prometheus-cpp-dev libyaml-cpp-dev
  libcxxopts-dev libeasyloggingpp-dev libexpected-dev nlohmann-json3-dev libxxhash-dev libcsv-dev
  catch2 librapidcheck-dev python3
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
