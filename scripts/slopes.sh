#!/usr/bin/env bash
# Measures the growth rates in docs/CAPACITY.md on loopback with small stand-ins:
# control bytes per poll against the number of members, CPU time of an idle entry
# instance, log appends per job, bytes of an accept record and of a call that
# sets a fencing token, the size of a configuration of 270 teams and the time
# until it is in force, and memory per task in flight.
#   scripts/slopes.sh [UPSTREAMS]
set -euo pipefail
here=$(cd "$(dirname "$0")/.." && pwd)
bin=${MM_BIN:-$here/build}
n_up=${1:-40}
base=${MM_PORT_BASE:-31000} # above the ports that the tests use
plat=http://127.0.0.1:$base
pids=()
stop () { for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; }
trap stop EXIT
"$bin/masticmill-platform" --set platform.port=$base --set platform.member_lag_ms=0 2>/dev/null & pids+=($!)
for i in $(seq 1 "$n_up"); do
  "$bin/masticmill-upstream" --set upstream.port=$((base + 1000 + i)) --set "upstream.name=\"up$i\"" \
    --set "upstream.platform_url=\"$plat\"" --set upstream.slots=8 2>/dev/null & pids+=($!)
done
for i in 1 2 3 4 5 6; do
  "$bin/masticmill-entry" --set entry.port=$((base + 100 + i)) --set "entry.name=\"entry$i\"" \
    --set "entry.platform_url=\"$plat\"" 2>/dev/null & pids+=($!)
done
entry=${pids[-1]}
sleep 3
members=$(curl -s "$plat/v1/members" | python3 -c 'import json,sys; print(len(json.load(sys.stdin)["members"]))')
list_bytes=$(curl -s "$plat/v1/members" | wc -c)
hb_bytes=$(curl -s "$plat/v1/members" | python3 -c 'import json,sys; m=[x for x in json.load(sys.stdin)["members"] if x["kind"]=="entry"][0]; print(len(json.dumps(m, separators=(",",":"))))')
cfg_bytes=$(curl -s "$plat/v1/log/config?from=0" | wc -c)
version=$(curl -s "$plat/v1/members?datacentre=dc1" | python3 -c 'import json,sys; print(json.load(sys.stdin)["version"])')
# Prints the bytes of one call as REQUEST+HEADERS+BODY; the headers and the body are those of the answer.
wire () { curl -s -o /dev/null -w '%{size_request}+%{size_header}+%{size_download}' "$@"; }
echo "wire_bytes(request+answer headers+body): config_poll=$(wire "$plat/v1/log/config?from=0") member_poll_unchanged=$(wire "$plat/v1/members?datacentre=dc1&since=$version") heartbeat=$(wire -X PUT -H 'Content-Type: application/json' -H 'Expect:' --data "$(printf '%*s' 154 | tr ' ' x | sed 's/^/{"k":"/;s/$/"}/')" "$plat/v1/members/probe")"
ticks_per_s=$(getconf CLK_TCK)
# Prints the CPU time of a process in clock ticks.
cpu () { awk '{print $14 + $15}' "/proc/$1/stat"; }
cpu0=$(cpu "$entry"); sleep 10; cpu1=$(cpu "$entry")
echo "members=$members member_list_bytes=$list_bytes bytes_per_member=$((list_bytes / members)) entry_heartbeat_body_bytes=$hb_bytes empty_config_read_bytes=$cfg_bytes"
echo "idle_entry_control_cpu_ms_per_s=$(echo "scale=2; ($cpu1 - $cpu0) * 1000 / $ticks_per_s / 10" | bc)"
entry_pids="${pids[*]: -6}"
# Log appends and reads per accepted job, and the payload bytes of notifications per second.
# sum_state prints the sums of the named counters over all entry instances.
sum_state () { for i in 1 2 3 4 5 6; do curl -s "http://127.0.0.1:$((base + 100 + i))/v1/state"; echo; done \
  | python3 -c 'import json,sys
t = {}
for l in sys.stdin:
    for k, v in json.loads(l)["counters"].items(): t[k] = t.get(k, 0) + v
print(" ".join(str(t.get(k, 0)) for k in sys.argv[1:]))' "$@"; }
read -r appends0 reads0 jobs0 bytes0 <<< "$(sum_state shard_appends shard_reads jobs_accepted news_bytes)"
list=$(for i in 1 2 3 4 5 6; do printf 'http://127.0.0.1:%d,' $((base + 100 + i)); done)
"$bin/masticctl" bench --entries "${list%,}" --site lima --seconds 10 --deadline-ms 3000 --non-idempotent 1
read -r appends1 reads1 jobs1 bytes1 <<< "$(sum_state shard_appends shard_reads jobs_accepted news_bytes)"
echo "site_lima: jobs=$((jobs1 - jobs0)) shard_appends_per_job=$(echo "scale=2; ($appends1 - $appends0) / ($jobs1 - $jobs0)" | bc) shard_reads_per_job=$(echo "scale=2; ($reads1 - $reads0) / ($jobs1 - $jobs0)" | bc) news_payload_bytes_per_s=$(( (bytes1 - bytes0) / 10 ))"
# Bytes of an append of an accept record, and of a call that sets a fencing token.
accept='{"kind":"accept","fp":"0123456789abcdef","jobs":["5c0e7a21d94b36f8"],"by":"entry1","inc":"entry1#1796244689657.0a1b2c3d"}'
echo "accept_append_wire_bytes=$(wire -X POST -H 'Expect:' -H 'X-Masticmill-Member: entry1' --data "$accept" "$plat/v1/log/probe?epoch=1") extra_bytes_per_job_in_batch=19"
echo "fence_wire_bytes_per_upstream=$(wire -X POST -H 'Expect:' --data '{"epoch":7}' "http://127.0.0.1:$((base + 1001))/v1/jobs/5c0e7a21d94b36f8/fence")"
# Size of a configuration of 270 teams, and the time until it is in force.
cfg=$(mktemp)
{ echo '[teams]'; for i in $(seq 1 270); do echo "team-$i = $((100 + i))"; done; } > "$cfg"
start_ns=$(date +%s%N); "$bin/masticctl" --platform "$plat" config publish "$cfg"; end_ns=$(date +%s%N)
echo "config_270_teams_bytes=$(wc -c < "$cfg") in_force_ms=$(( (end_ns - start_ns) / 1000000 ))"
rm -f "$cfg"
python3 - "$base" $entry_pids <<'PY'
import json, sys, time, urllib.request, threading
base = int(sys.argv[1]); pids = sys.argv[2:]
def rss():
    return sum(int(l.split()[1]) for p in pids for l in open(f"/proc/{p}/status") if l.startswith("VmRSS"))
def queued():
    n = 0
    for i in range(1, 7):
        d = json.load(urllib.request.urlopen(f"http://127.0.0.1:{base + 100 + i}/v1/state"))
        n += d["tasks_queued"]
    return n
def post(j):
    tasks = [{"id": f"t{i}", "payload": "x" * 64, "run_ms": 4000, "deadline_ms": 20000, "idempotent": True} for i in range(290)]
    body = json.dumps({"job_id": f"mem{j}", "tasks": tasks}).encode()
    try:
        urllib.request.urlopen(urllib.request.Request(f"http://127.0.0.1:{base + 101 + j % 6}/v1/jobs", body), timeout=30).read()
    except Exception:
        pass
rss0, queued0 = rss(), queued()
ts = [threading.Thread(target=post, args=(j,), daemon=True) for j in range(30)]
[t.start() for t in ts]
time.sleep(2)
rss1, queued1 = rss(), queued()
print(f"rss_6_entries_idle_kb={rss0} rss_with_jobs_kb={rss1} tasks_in_flight={queued1 - queued0} bytes_per_task_in_flight={(rss1 - rss0) * 1024 // max(queued1 - queued0, 1)}")
PY
