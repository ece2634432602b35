"""All instances of one zone lose power for good while kept jobs run.  The
executors of that zone, and the other zones, go on."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

from deployment import Deployment, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("miraflores", "centro", "barranco")
JOBS = 24
TASK_MS = 1500
FINISH_S = 14
IDLE_S = 3
JOB = {"spec": "ms=%d" % TASK_MS,
       "steps": [{"count": 2, "cpu": 500, "memMb": 64,
                  "estimateMs": TASK_MS},
                 {"count": 1, "cpu": 500, "memMb": 64, "estimateMs": TASK_MS,
                  "after": [0]}]}


def job_id(i):
    return "%016x" % (0xa4000000 + i * 7919)


async def lose_power(d, nodes):
    """From the stop on the machines answer nothing and their connections
    hang.  When the others have given their connections up, the processes are
    ended; they never come back."""
    for node in nodes:
        node.signal(signal.SIGSTOP)
    await asyncio.sleep(3)
    for node in nodes:
        node.kill()


def last_activity_s(d, job):
    return max((e["t"] for e in d.events if e["what"] in ("start", "end")
                and e["task"].startswith(job + ".")), default=0)


async def main():
    async with Deployment(HERE, nodes=6, zones=ZONES) as d:
        for i in range(9):
            await d.add_executor("i-%d" % i, zone=ZONES[i % 3])
        await d.start_nodes()
        accepted = [job_id(i) for i in range(JOBS)]
        answers = await asyncio.gather(
            *(d.submit(d.nodes[i % 6], job, JOB)
              for i, job in enumerate(accepted)))
        accepted = [job for job, ok in zip(accepted, answers) if ok]
        await asyncio.sleep(0.5)
        if TROUBLE:
            await lose_power(d, [n for n in d.nodes if n.zone == ZONES[2]])
        await asyncio.sleep(2 * TASK_MS / 1000 + 15 + FINISH_S)
        states = {job: await d.state(job) for job in accepted}
        await asyncio.sleep(IDLE_S + 1)
        now_s = d.events[-1]["t"] + IDLE_S
        running = {task for x in d.executors for task in x.runs}
        print("%d executors run %d tasks; %d of %d accepted jobs completed"
              % (len(d.executors), len(running),
                 list(states.values()).count("completed"), len(accepted)))
        return ["LOST: job %s is shown as %s, %.0f s after anything of it "
                "last started or ended, while all executors are idle"
                % (job, state, now_s - last_activity_s(d, job))
                for job, state in states.items()
                if state != "completed" and not running]


run_case(main, HERE)
