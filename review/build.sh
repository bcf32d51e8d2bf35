#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into target/review/. The deploy file's build comes
# first; nothing but g++ is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
    number="$(basename "$(dirname "$source")")"
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -Ireview "$source" -o "target/review/case_$number"
done
