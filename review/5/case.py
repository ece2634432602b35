"""An entry of another writer among those of the executors; then one instance
is restarted as planned while kept jobs run."""

import asyncio
import json
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

from deployment import SERVICE, Deployment, run_case  # noqa: E402
from wire import free_port  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS = 24
TASK_MS = 3000
FINISH_S = 14
IDLE_S = 3
JOB = {"spec": "ms=%d" % TASK_MS,
       "steps": [{"count": 1, "cpu": 500, "memMb": 64,
                  "estimateMs": TASK_MS},
                 {"count": 1, "cpu": 500, "memMb": 64, "estimateMs": TASK_MS,
                  "after": [0]}]}


def job_id(i):
    return "%016x" % (0xa5000000 + i * 7919)


def put_foreign_entry(d):
    """Another writer's entry: its state is none that the pages name, and
    nothing listens at its address."""
    entry = {"service": SERVICE, "addr": "127.0.0.1:%d" % free_port(),
             "zone": "dc1", "version": "v1", "slots": 8, "state": "retired",
             "coldLeftMs": 0,
             "capacity": {"cpu": 32000, "memMb": 131072, "gpu": 0},
             "labels": ["a", "r1"], "clockMs": 1, "seq": 1}
    d.store.put("keyed.servers", "i-other-writer", json.dumps(entry).encode())
    d.record("foreign_entry", entry=entry)


def last_activity_s(d, job):
    return max(e["t"] for e in d.events
               if e["what"] in ("start", "end")
               and e["task"].startswith(job + "."))


async def main():
    async with Deployment(HERE) as d:
        for i in range(6):
            await d.add_executor("i-%d" % i)
        if TROUBLE:
            put_foreign_entry(d)
        await d.start_nodes()
        accepted = [job_id(i) for i in range(JOBS)]
        answers = await asyncio.gather(
            *(d.submit(d.nodes[i % 3], job, JOB)
              for i, job in enumerate(accepted)))
        accepted = [job for job, ok in zip(accepted, answers) if ok]
        await asyncio.sleep(1)
        d.nodes[0].signal(signal.SIGTERM)
        while d.nodes[0].alive():
            await asyncio.sleep(0.05)
        d.record("node_exit", node=d.nodes[0].name)
        d.nodes[0].start()
        await asyncio.sleep(2 * TASK_MS / 1000 + 12 + FINISH_S)
        states = {job: await d.state(job) for job in accepted}
        await asyncio.sleep(IDLE_S + 1)
        now_s = d.events[-1]["t"] + IDLE_S
        broken = []
        for job in accepted:
            running = sum(1 for x in d.executors for task in x.runs
                          if task.startswith(job + "."))
            idle_s = now_s - last_activity_s(d, job)
            if states[job] in ("queued", "running") and not running \
                    and idle_s > IDLE_S:
                broken.append("LOST: job %s is shown as %s; nothing of it "
                              "has run for %.0f s, and all executors are idle"
                              % (job, states[job], idle_s))
            elif states[job] != "completed":
                broken.append("LOST: job %s is shown as %s"
                              % (job, states[job]))
        if len(accepted) < JOBS:
            print("%d of %d jobs accepted" % (len(accepted), JOBS))
        return broken


run_case(main, HERE)
