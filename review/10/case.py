"""An idle executor crashes and starts again under its id."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

from mill import main  # noqa: E402

ROUNDS = 10
TASK_MS = 12


async def case(c, trouble):
    flapping = c.executors[0]
    flapping.labels = ["b", "r1"]  # the only one of its kind
    await c.start()
    step = {"count": 2, "cpu": 2000, "memMb": 64, "estimateMs": TASK_MS,
            "constraints": "b"}
    job = {"spec": "ms=%d" % TASK_MS, "steps": [step, dict(step, after=[0])]}
    for k in range(4):
        await c.submit("/jobs/%016x" % (100 + k), job, at=k)
    await asyncio.sleep(1)
    for k in range(ROUNDS):
        if trouble:
            await flapping.restart(0.3)
        await c.submit("/jobs/%016x" % (k + 1), job, at=k)
        await asyncio.sleep(2.5)
    # An end is taken note of when ackedUpto reaches it.
    noted = {}
    for ms, task, _, run, how, _ in c.acks:
        if how == "done":
            noted.setdefault(task, (ms, run))
    twice = []
    for ms, task, x, run in c.starts:
        if task in noted and ms > noted[task][0]:
            twice.append(task)
            c.record("start again", task, "run", run, "at", x, ms,
                     "done and taken note of at", noted[task][0])
    return twice and ("TWICE: %d tasks were started again after a run had"
                      " ended done and its end was taken note of"
                      % len(set(twice)))


main(case, HERE, executors=10)
