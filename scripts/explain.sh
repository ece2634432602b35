#!/usr/bin/env bash
# Causes three failed requests on stand-ins and explains each with `masticctl
# explain` from its job id alone.  The first is refused under load, the second is
# lost when an instance dies and is submitted again, and the third fails on
# upstreams that look healthy.  The examples in docs/OPERATIONS.md come from a
# run of this script.
#   scripts/explain.sh [FOLDER for the logs]
set -euo pipefail
here=$(cd "$(dirname "$0")/.." && pwd)
bin=${MM_BIN:-$here/build}
base=${MM_PORT_BASE:-17500}
plat=127.0.0.1:$base
log=${1:-$(mktemp -d)}
mkdir -p "$log"
rm -f "$log"/*.log
pids=()
stop () { for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; }
trap stop EXIT
# Print the URL for callers, and the state, of instance number $1.
front () { echo "http://127.0.0.1:$((base + 100 + $1))"; }
state () { curl -s "http://127.0.0.1:$((base + 130 + $1))/"; }
node () { # NUMBER: starts an instance, which appends to its log
  "$bin/masticmill-node" --set "node.name=\"node$1\"" --set "node.front=\"127.0.0.1:$((base + 100 + $1))\"" \
    --set "node.ready=\"127.0.0.1:$((base + 110 + $1))\"" --set node.mesh_port=$((base + 120 + $1)) \
    --set node.state_port=$((base + 130 + $1)) --set "store.address=\"$plat\"" >>"$log/node$1.log" 2>&1 &
  pids+=($!); node_pid[$1]=$!
}
job () { # ID TASKS RUN_MS [QUEUE]: prints the JSON body of a job
  python3 -c 'import json,sys
n, ms = int(sys.argv[2]), int(sys.argv[3])
queue = sys.argv[4] if len(sys.argv) > 4 else "bookings"
print(json.dumps({"job_id": sys.argv[1], "queue": queue, "tasks": [{"id": f"t{i}", "run_ms": ms, "deadline_ms": 8000, "idempotent": True} for i in range(n)]}))' "$@"
}
submit () { # NODE ID TASKS RUN_MS [QUEUE]: prints the HTTP status
  curl -s -o "$log/$2.answer" -w '%{http_code}' --data "$(job "${@:2}")" "$(front "$1")/v1/jobs" || true
}
# Prints the number of upstreams that instance number $1 owns.
owned () { state "$1" | python3 -c 'import json,sys; print(len(json.load(sys.stdin)["owner"]["upstreams"]))'; }
wait_owned () { # COUNT NODE...: waits until the nodes together own COUNT upstreams
  local expected=$1; shift
  for _ in $(seq 100); do
    local n=0; for i in "$@"; do n=$((n + $(owned "$i" 2>/dev/null || echo 0))); done
    [ "$n" = "$expected" ] && return; sleep 0.1
  done
  echo "upstreams are not owned" >&2; exit 1
}
declare -A node_pid
"$bin/masticmill-platform" --set platform.port=$base >"$log/platform.log" 2>&1 & pids+=($!)
sleep 0.3
"$bin/masticctl" --platform "http://$plat" queues set "$here/examples/config/queues-tight.json" >/dev/null
for i in 1 2 3 4; do
  "$bin/masticmill-upstream" --set upstream.port=$((base + 200 + i)) --set "upstream.name=\"up$i\"" \
    --set upstream.slots=2 --set "upstream.platform_url=\"http://$plat\"" >"$log/up$i.log" 2>&1 & pids+=($!)
done
node 1; node 2
wait_owned 4 1 2
sleep 1.5 # for the instances to discover each other
# Explains the request with the job id $2, under the heading $1.
explain () { sleep 0.2; echo "--- $1"; "$bin/masticctl" explain "$2" "$log"/node*.log; }

for k in 1 2; do submit 1 "fill-$k" 4 1500 >"$log/fill-$k.status" & done
sleep 0.4
echo "refused: status $(submit 1 refused-1 24 100)"
explain "refused under load" refused-1
sleep 2

victim=1; [ "$(owned 1)" -gt 0 ] || victim=2
other=$((3 - victim))
# The answers of queue "quick" are useless by the time its tasks could run again.
submit $other lost-1 8 400 quick >"$log/lost-1.status" & waiting=$!
for _ in $(seq 100); do
  grep -q '"job_accepted","job":"lost-1"' "$log/node$other.log" && break
  sleep 0.05
done
kill -9 "${node_pid[$victim]}"
wait $waiting || true
echo "lost: status $(cat "$log/lost-1.status")"
sleep 1.3
wait_owned 4 $other
echo "sent again: status $(submit $other lost-1 8 100 quick)"
explain "lost with an instance that died, then run again" lost-1

for i in 1 2 3 4; do
  curl -s --data '{"fails":true}' "http://127.0.0.1:$((base + 200 + i))/v1/run-faults" >/dev/null
done
# Repeats until an upstream is excluded, as the exclusion is the expected cause.
for k in 1 2 3 4 5 6; do
  echo "failed: status $(submit $other failed-$k 1 100)"
  sleep 0.1
  grep -q upstream_excluded "$log"/node$other.log && break
done
explain "failed on upstreams that look healthy" failed-$k
