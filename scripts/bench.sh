#!/usr/bin/env bash
# Runs a load test on loopback with a platform stand-in, UPSTREAMS upstream
# stand-ins of 8 slots each and ENTRIES entry instances.  masticctl bench prints
# the response time relative to the ideal and the wasted messages per 1,000
# tasks.  The script also prints the CPU ms and the resident memory of each entry
# instance, read from /proc, for docs/CAPACITY.md.  FAULT is a fault injected one
# second into the run (platform_slow: from the start):
#   none           no fault
#   fail_all       one upstream fails every task
#   drain          one upstream is drained
#   kill_entry     an entry instance is killed
#   platform_slow  each answer of the platform takes 4 ms longer, like a synced
#                  write
#   platform_down  the platform does not answer
#   scripts/bench.sh UPSTREAMS ENTRIES JOBS TASKS CONCURRENCY RUN_MS [FAULT]
# With SITE=lima or SITE=buenos-aires, jobs arrive as at that site instead of
# JOBS x TASKS: an open loop of SECONDS_ seconds, the rate multiplied by SCALE,
# with a deadline of 1.5 s and only non-idempotent tasks:
#   SITE=lima SECONDS_=15 scripts/bench.sh 50 6 - - - - [FAULT]
set -euo pipefail
here=$(cd "$(dirname "$0")/.." && pwd)
bin=${MM_BIN:-$here/build}
n_up=${1:-8} n_en=${2:-2} jobs=${3:-40} tasks=${4:-50} conc=${5:-8} run_ms=${6:-100} fault=${7:-none}
base=${MM_PORT_BASE:-31000} # above the ports that the tests use
plat=http://127.0.0.1:$base
pids=()
stop () { for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; }
trap stop EXIT
"$bin/masticmill-platform" --set platform.port=$base --set platform.member_lag_ms=500 2>/dev/null & pids+=($!)
for i in $(seq 1 "$n_up"); do
  "$bin/masticmill-upstream" --set upstream.port=$((base + 1000 + i)) --set "upstream.name=\"up$i\"" \
    --set "upstream.platform_url=\"$plat\"" 2>/dev/null & pids+=($!)
done
entries=() entry_pids=()
for i in $(seq 1 "$n_en"); do
  "$bin/masticmill-entry" --set entry.port=$((base + 100 + i)) --set "entry.name=\"entry$i\"" \
    --set "entry.platform_url=\"$plat\"" ${ENTRY_EXTRA:+--set "$ENTRY_EXTRA"} 2>/dev/null & pids+=($!); entry_pids+=($!)
  entries+=("http://127.0.0.1:$((base + 100 + i))")
done
sleep 3
# Prints the CPU time of a process in ms.
cpu_ms () { awk '{print ($14 + $15) * 1000 / '"$(getconf CLK_TCK)"'}' "/proc/$1/stat"; }
declare -A cpu0; for p in "${entry_pids[@]}"; do cpu0[$p]=$(cpu_ms "$p"); done
list=$(IFS=,; echo "${entries[*]}")
case "$fault" in
  none) ;;
  fail_all) (sleep 1; "$bin/masticctl" fault 127.0.0.1:$((base + 1001)) '{"mode":"fail_all"}' >/dev/null) & ;;
  drain) (sleep 1; "$bin/masticctl" fault 127.0.0.1:$((base + 1001)) '{"mode":"drain"}' >/dev/null) & ;;
  platform_slow) "$bin/masticctl" fault 127.0.0.1:$base '{"slow_ms":4}' >/dev/null ;;
  platform_down) (sleep 1; "$bin/masticctl" fault 127.0.0.1:$base '{"down":true}' >/dev/null) & ;;
  kill_entry) (sleep 1; kill -9 "${entry_pids[-1]}") & list=$(IFS=,; echo "${entries[*]:0:$((n_en - 1))}") ;;
esac
if [ -n "${SITE:-}" ]; then
  "$bin/masticctl" bench --entries "$list" --site "$SITE" --seconds "${SECONDS_:-15}" --scale "${SCALE:-1}" \
    --deadline-ms 1500 --non-idempotent 1
else
  "$bin/masticctl" bench --entries "$list" --jobs "$jobs" --tasks "$tasks" --concurrency "$conc" --run-ms "$run_ms" --non-idempotent 0.1
fi
wait_jobs=$(jobs -p | grep -v -F "$(printf '%s\n' "${pids[@]}")" || true)
for p in "${entry_pids[@]}"; do
  [ -d "/proc/$p" ] || continue
  echo "entry pid $p: cpu_ms $(echo "$(cpu_ms "$p") - ${cpu0[$p]}" | bc) rss_kb $(awk '/VmRSS/{print $2}' "/proc/$p/status")"
done
