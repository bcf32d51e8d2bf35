#!/usr/bin/env bash
# Measures all slopes of docs/CAPACITY.md again: raw figures as CSV and one SVG per slope.
# Usage: measure_capacity.sh [BUILD_DIR [OUT_DIR]]
# Run it on an idle machine; it takes about ten minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/release}
out=${2:-docs/figures/capacity}
mkdir -p "$out"
{
  date -u +%Y-%m-%dT%H:%MZ
  nproc
  grep -m1 'model name' /proc/cpuinfo || true
  grep MemTotal /proc/meminfo
} >"$out/machine.txt"
"$build/bin/entry_capacity" --csv "$out/entry.csv"
"$build/bin/plan_capacity" --csv "$out/plan.csv"
"$build/bin/plan_capacity" --accounts 100,2000,20000,200000 --csv "$out/plan_accounts.csv"
for accounts in 100 2000 20000 200000; do
  "$build/bin/plan_decoding_capacity" --accounts "$accounts"
done | awk 'NR == 1 || NR % 2 == 0' >"$out/plan_decoding.csv"
"$build/bin/action_cost" >"$out/actions.csv"
scripts/measure_path.py "$build" "$out"
"$build/bin/control_capacity" --sizes 100,300,1000 --seconds 60 --seed 1 --csv "$out/control.csv"
plot() { scripts/plot_slopes.py "$out/$1.csv" "$2" "$3" "$out/$4.svg" "${5:-}"; }
plot entry size bytes upstream_bytes state=upstream
plot entry size bytes route_bytes state=route
plot entry size bytes contract_route_bytes state=contract_route
plot entry size build_ms update_ms state=update_of_one_daemon
plot connections idle_connections entry_resident_kib connection_memory
plot latency requests_per_s p99_ms latency_two_daemons path=two_daemons
plot latency requests_per_s p99_ms latency_direct path=direct
plot fleet daemons all_ready_s bring_up
plot fleet daemons cpu_share_of_a_core fleet_cpu
plot control daemons sent_bytes_per_s control_bytes
plot control daemons cpu_us_per_s control_cpu
plot control daemons in_force_worst_ms change_in_force
