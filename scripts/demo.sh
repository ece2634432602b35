#!/usr/bin/env bash
# The main job on embedded defaults: a platform stand-in, three upstream
# stand-ins and two entry instances on loopback; publish a config, submit
# one job of 200 tasks, print the answer summary and the latency against
# the ideal, then stop what was started, by pid.
set -euo pipefail
here=$(cd "$(dirname "$0")/.." && pwd)
bin=${MM_BIN:-$here/build}
base=${MM_PORT_BASE:-17000}
plat=http://127.0.0.1:$base
pids=()
stop () { for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; }
trap stop EXIT
log=$(mktemp -d)
"$bin/masticmill-platform" --set platform.port=$base --set platform.member_lag_ms=200 2>"$log/platform.log" & pids+=($!)
for i in 1 2 3; do
  "$bin/masticmill-upstream" --set upstream.port=$((base + 200 + i)) --set "upstream.name=\"up$i\"" \
    --set "upstream.platform_url=\"$plat\"" 2>"$log/up$i.log" & pids+=($!)
done
for i in 1 2; do
  "$bin/masticmill-entry" --set entry.port=$((base + 100 + i)) --set "entry.name=\"entry$i\"" \
    --set "entry.platform_url=\"$plat\"" --set 'entry.site="lima"' 2>"$log/entry$i.log" & pids+=($!)
done
sleep 1.5
"$bin/masticctl" --platform "$plat" config publish "$here/examples/config/base.toml" \
  lima="$here/examples/config/lima.toml" buenos-aires="$here/examples/config/buenos-aires.toml"
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
# 200 tasks on 3 upstreams x 8 slots: the ideal is the critical path of
# a perfect packing, at least the longest task and total work / slots.
longest = max(t["run_ms"] for t in job["tasks"])
work = sum(t["run_ms"] for t in job["tasks"]) / 24
ideal = max(longest, work) + 1
print(f"job {ans['job_id']}: {ans['status']}, tasks {states}")
print(f"response {took} ms, ideal {ideal:.0f} ms, ratio {took / ideal:.2f}")
PY
"$bin/masticctl" dump 127.0.0.1:$((base + 101)) | python3 -c 'import json,sys; d=json.load(sys.stdin); print("entry1 config offset", d["config_offset"], "counters", d["counters"])'
