#!/usr/bin/env bash
# Runs a small fleet of both businesses on loopback: applies the contracts of examples/, serves
# requests, prints a trace, makes one backend server fail and shows that it gets no more work.
# Stops only the processes that it started, by their ids.
# Usage: demo.sh BUILD_DIR
set -euo pipefail

if [ "$#" -ne 1 ] || [ ! -x "$1/bin/galenaroadd" ]; then
  echo "Usage: demo.sh BUILD_DIR, with the programs in BUILD_DIR/bin" >&2
  exit 2
fi
bin=$(cd "$1/bin" && pwd)
cd "$(dirname "$0")/.."
work=$(mktemp -d /tmp/galenaroad-demo.XXXXXX)
started=() # Process ids; stopped in reverse order.
join=""
problems=0

stop_all() {
  local index pid tries
  for ((index = ${#started[@]} - 1; index >= 0; index--)); do
    kill -TERM "${started[index]}" 2>/dev/null || true
  done
  for pid in "${started[@]}"; do
    for ((tries = 0; tries < 100; tries++)); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    if kill -0 "$pid" 2>/dev/null; then
      echo "Process $pid did not stop within 10 s and is killed" >&2
      kill -KILL "$pid" 2>/dev/null || true
    fi
  done
}

finish() {
  local code=$?
  trap - EXIT
  stop_all
  if [ "$code" -eq 0 ]; then
    rm -rf "$work"
  else
    echo "The demonstration failed; its files are in $work" >&2
  fi
  exit "$code"
}
trap finish EXIT
trap 'exit 130' INT TERM

fail() {
  echo "$1" >&2
  exit 1
}

# problem TEXT: reports a step that went wrong; the other steps still run.
problem() {
  echo "PROBLEM: $1" >&2
  problems=$((problems + 1))
}

# start NAME PROGRAM ARGUMENTS...: runs a program until the end of the demonstration.
start() {
  local name=$1 program=$2
  shift 2
  "$bin/$program" "$@" --addresses-file "$work/$name.json" >"$work/$name.log" 2>&1 &
  started+=("$!")
}

# address NAME MEMBER: waits for a program's addresses file and prints one address.
address() {
  local tries
  for ((tries = 0; tries < 100; tries++)); do
    if [ -s "$work/$1.json" ]; then
      jq -er ".$2" "$work/$1.json"
      return
    fi
    sleep 0.1
  done
  fail "$1 did not start: $(tail -n 3 "$work/$1.log")"
}

# start_daemon NAME REGION
start_daemon() {
  cat >"$work/$1.yaml" <<SETTINGS
instance: $1
region: $2
data_centre: $2-1
addresses: {entry: "127.0.0.1:0", peer: "127.0.0.1:0", admin: "127.0.0.1:0"}
join_ranges: [$join]
platform: {table_service: "$table", object_store: "$objects"}
telemetry: {spans_file: "$work/$1.spans", log_level: info}
SETTINGS
  start "$1" galenaroadd --settings "$work/$1.yaml"
  join="\"$(address "$1" peer)\""
}

# start_servers DAEMON BUSINESS SERVICE SLOTS CONNECTIONS COUNT
start_servers() {
  local number admin entry
  admin=$(address "$1" admin)
  entry=$(address "$1" entry)
  for ((number = 1; number <= $6; number++)); do
    start "$1-$3-$number" standin_backend_server --name "$3-$number" --business "$2" \
      --service "$3" --slots "$4" --connections "$5" --admin "$admin" --entry "$entry" \
      --host "$2.example" --spans-file "$work/$1-$3-$number.spans"
  done
}

ctl() {
  "$bin/galenaroadctl" --table "$table" --objects "$objects" --admin "$admin" "$@"
}

# request HOST PATH [CURL ARGUMENTS...]: sends a request to the first daemon's entry address.
request() {
  local host=$1 path=$2
  shift 2
  curl -sS --max-time 10 -H "Host: $host" "$@" "http://$entry$path"
}

# wait_for HOST PATH: repeats a request until it succeeds.
wait_for() {
  local tries
  for ((tries = 0; tries < 100; tries++)); do
    request "$1" "$2" -f -o /dev/null 2>/dev/null && return
    sleep 0.2
  done
  fail "No success from $1$2 within 20 s: $(request "$1" "$2" || true)"
}

started_work() { curl -sS "http://$1/_counters" | jq .started; }

# load COUNT: sends searches to the daemons of both regions, eight at a time to each.
load() {
  local target loads=()
  for target in "$entry" "$(address gac-1-a entry)"; do
    curl -s -Z --no-progress-meter --parallel-max 8 --max-time 60 -o /dev/null \
      -H 'Host: tetteh.example' "http://$target/finder?q=[1-$(($1 / 2))]" &
    loads+=($!)
  done
  wait "${loads[@]}" || true
}

print_trace() {
  local count
  sleep 1 # Spans are written every 200 ms.
  cat "$work"/*.spans | jq -r --arg trace "$1" '
    .resourceSpans[] | (.resource.attributes[] | select(.key == "service.instance.id")
      | .value.stringValue) as $instance
    | .scopeSpans[].spans[] | select(.traceId == $trace)
    | [.startTimeUnixNano, .spanId, (.parentSpanId // "-"), $instance, .name,
       (((.endTimeUnixNano | tonumber) - (.startTimeUnixNano | tonumber)) / 1000 | floor
        | tostring) + " us"] | @tsv' | sort | cut -f 2- | tee "$work/trace.txt" |
    column -t -s $'\t' -N span,parent,instance,name,duration
  count=$(wc -l <"$work/trace.txt")
  [ "$count" -ge 3 ] || problem "The trace has $count spans; at least 3 were expected"
}

# show_single_run KEY: shows how often the order with a key ran at any backend server.
show_single_run() {
  local runs=0 daemon number server
  for daemon in ljubljana-1-a maribor-1-a; do
    for number in 1 2; do
      server=$(address "$daemon-orders-$number" address)
      runs=$((runs + $(curl -sS "http://$server/_actions" |
        jq --arg key "$1" '[.[] | select(.idempotency_key == $key)] | length')))
    done
  done
  echo "The order ran $runs times"
  [ "$runs" -eq 1 ] || problem "The order ran $runs times in place of once"
}

show_failing_server() {
  local sick=$1 before after tries
  echo "== The backend server finder-1 of ash-1-a now fails every request"
  curl -sS -X PUT -d '{"failure_share": 1, "lying_health": true}' "http://$sick/_faults" >/dev/null
  for ((tries = 1; tries <= 15; tries++)); do
    before=$(started_work "$sick")
    load 100
    after=$(started_work "$sick")
    echo "100 searches: $((after - before)) reached the failing server"
    [ "$before" -ne "$after" ] || return 0
    sleep 0.5
  done
  problem "The failing server still received work after 15 rounds"
}

# show_drain: drains upstreams of service finder until the capacity floor refuses.
show_drain() {
  local number code=0 drained before after tries
  # The evaluator learns of the failing server by the report of its owner, once a second.
  for ((tries = 0; tries < 50; tries++)); do
    curl -s "http://$table/tables/ejections/rows/tetteh%2Ffinder" | grep -q '"ejected"' && break
    sleep 0.1
  done
  echo "== Draining upstreams of finder down to its floor of 14 slots"
  for number in 1 2 3; do
    ctl drain tetteh finder gac-1-a "finder-$number" || problem "finder-$number was not drained"
  done
  ctl drain tetteh finder ash-1-a finder-2 || code=$?
  [ "$code" -eq 8 ] || problem "A drain below the floor ended with exit code $code in place of 8"
  drained=$(address gac-1-a-finder-2 address)
  sleep 3 # New work ends within 3 s.
  before=$(started_work "$drained")
  load 100
  after=$(started_work "$drained")
  echo "100 searches: $((after - before)) reached a drained server"
  [ "$before" -eq "$after" ] || problem "A drained server still received work after 3 s"
}

echo "== Starting the platform's stand-ins and four daemons"
start table standin_table_service
start objects standin_object_store
table=$(address table address)
objects=$(address objects address)
start_daemon ash-1-a ash
admin=$(address ash-1-a admin)
entry=$(address ash-1-a entry)
start_daemon gac-1-a gac
start_daemon ljubljana-1-a ljubljana
start_daemon maribor-1-a maribor

echo "== Starting the backend servers"
for daemon in ash-1-a gac-1-a; do
  start_servers "$daemon" tetteh finder 7 330 3
  start_servers "$daemon" tetteh orders 7 330 1
  start_servers "$daemon" tetteh manuals 7 330 1
  start_servers "$daemon" tetteh returns 7 330 1
done
for daemon in ljubljana-1-a maribor-1-a; do
  start_servers "$daemon" cista-pipa reminders 3 390 2
  start_servers "$daemon" cista-pipa orders 3 390 2
  start_servers "$daemon" cista-pipa documents 3 390 1
  start_servers "$daemon" cista-pipa subscriptions 3 390 2
done

echo "== Applying the contracts and the planners' sheet"
ctl apply examples/tetteh.yaml
ctl apply examples/cista-pipa.yaml
ctl apply examples/cista-pipa-2026-12-04.csv
for path in /finder /orders /manuals; do
  wait_for tetteh.example "$path?q=belt"
done
for path in /reminders /orders /documents /subscriptions; do
  wait_for cista-pipa.example "$path?q=filter"
done

echo "== One order of Zadruga Cista Pipa, sent twice with the same key"
for _ in 1 2; do
  request cista-pipa.example /orders -H 'Idempotency-Key: demo-1' -d '{"cartridge": 5}' \
    -w ' (status %{http_code})\n'
done
show_single_run demo-1

echo "== One search of Tetteh Vacuum Works with a nested call, and its trace"
trace=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
request tetteh.example "/finder?q=belt&call=/manuals/belt" -f \
  -H "traceparent: 00-$trace-00f067aa0ba902b7-01"
echo
print_trace "$trace"

show_failing_server "$(address ash-1-a-finder-1 address)"
show_drain
[ "$problems" -eq 0 ] || fail "$problems steps went wrong"
echo "== Done; stopping the ${#started[@]} processes of the demonstration"
