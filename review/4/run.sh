#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
program="$root/target/review/case_$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x "$root/target/bin/galenaroad_platform" ]; then
    echo "not built: run the build of deploy/system.toml and review/build.sh" >&2
    exit 2
fi
temp="$(mktemp -d)"
trap 'rm -rf "$temp"' EXIT
REVIEW_ROOT="$root" REVIEW_TEMP="$temp" timeout -k 5 110 "$program" "$folder/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
