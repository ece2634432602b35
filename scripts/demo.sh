#!/usr/bin/env bash
# Starts a platform stand-in, three upstream stand-ins of 24 slots and three
# instances on loopback, publishes the queues and submits one job of 200 tasks.
# Prints a summary of the answer and the response time relative to the ideal,
# and stops the started processes by pid.
set -euo pipefail
here=$(cd "$(dirname "$0")/.." && pwd)
bin=${MM_BIN:-$here/build}
base=${MM_PORT_BASE:-17000}
plat=127.0.0.1:$base
pids=()
stop () { for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; }
trap stop EXIT
log=${MM_LOG_DIR:-$(mktemp -d)}
"$bin/masticmill-platform" --set platform.port=$base >"$log/platform.log" 2>&1 & pids+=($!)
for i in 1 2 3; do
  "$bin/masticmill-upstream" --set upstream.port=$((base + 200 + i)) --set "upstream.name=\"up$i\"" \
    --set upstream.slots=24 --set "upstream.platform_url=\"http://$plat\"" >"$log/up$i.log" 2>&1 & pids+=($!)
  "$bin/masticmill-node" --set "node.name=\"node$i\"" --set "node.front=\"127.0.0.1:$((base + 100 + i))\"" \
    --set "node.ready=\"127.0.0.1:$((base + 110 + i))\"" --set node.mesh_port=$((base + 120 + i)) \
    --set node.state_port=$((base + 130 + i)) --set "store.address=\"$plat\"" >"$log/node$i.log" 2>&1 & pids+=($!)
done
sleep 0.5
"$bin/masticctl" --platform "http://$plat" queues set "$here/examples/config/queues.json" >/dev/null
for i in 1 2 3; do
  for _ in $(seq 50); do
    curl -sf -o /dev/null "http://127.0.0.1:$((base + 110 + i))/v1/ready" && break
    sleep 0.1
  done
done
sleep 0.5 # for the instances to discover each other
python3 - "$log/job.json" <<'PY'
import json, random, sys
random.seed(1)
tasks = [{"id": f"t{i}", "payload": f"seat-{i}", "run_ms": random.randint(50, 300),
          "deadline_ms": 10000, "idempotent": i % 10 != 0} for i in range(200)]
json.dump({"job_id": "demo-1", "team": "aula-viva", "tasks": tasks}, open(sys.argv[1], "w"))
PY
start=$(date +%s%N)
"$bin/masticctl" --entry http://127.0.0.1:$((base + 101)) job submit "$log/job.json" > "$log/answer.json"
end=$(date +%s%N)
python3 - "$log/job.json" "$log/answer.json" $(( (end - start) / 1000000 )) <<'PY'
import json, sys
job = json.load(open(sys.argv[1])); ans = json.load(open(sys.argv[2])); took = int(sys.argv[3])
states = {}
for t in ans["tasks"]:
    states[t["state"]] = states.get(t["state"], 0) + 1
# The ideal is the response time of a perfect packing of the 200 tasks into
# 3 upstreams x 24 slots: the longest task or the total work / slots, whichever
# is longer.
longest = max(t["run_ms"] for t in job["tasks"])
work = sum(t["run_ms"] for t in job["tasks"]) / 72
ideal = max(longest, work) + 1
print(f"job {ans['job_id']}: {ans['status']}, tasks {states}")
print(f"response {took} ms, ideal {ideal:.0f} ms, ratio {took / ideal:.2f}")
PY
"$bin/masticctl" top 127.0.0.1:$((base + 131)) 127.0.0.1:$((base + 132)) 127.0.0.1:$((base + 133))
"$bin/masticctl" explain demo-1 "$log"/node*.log | tail -1
