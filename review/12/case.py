"""An executor goes down and up twice, the first time while it is idle."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

from mill import main  # noqa: E402

ROUNDS = 6
AFTER_START_S = 0.03
DOWN_S = 0.5


async def case(c, trouble):
    flapping = c.executors[0]
    flapping.labels = ["b", "r1"]  # the only one of its kind
    await c.start()
    job = {"spec": "ms=900",
           "steps": [{"count": 1, "cpu": 2000, "memMb": 64, "estimateMs": 900,
                      "constraints": "b"}]}
    failed = []
    for k in range(ROUNDS):
        i = "%016x" % (k + 1)
        if trouble:
            await flapping.restart(DOWN_S)
        accepted = await c.submit("/jobs/" + i, job, at=k)
        for _ in range(200):
            if flapping.runs:
                break
            await asyncio.sleep(0.005)
        await asyncio.sleep(AFTER_START_S)
        if trouble:
            await flapping.restart(DOWN_S)
        await asyncio.sleep(7)
        state = await c.state("/jobs/" + i, at=k)
        ends = [e[4] for e in c.ends if e[1].startswith(i)]
        under = [e for e in c.crashes if e[1].startswith(i)]
        c.record("job", i, state, "ends", ends, "crashes under it",
                 len(under))
        if (accepted and state == "failed" and "failed" not in ends
                and len(under) < 2):
            failed.append(i)
    return failed and ("LOST: %d of %d jobs are shown as failed; no run of"
                       " theirs has ended as failed, and one crash has come"
                       " under each" % (len(failed), ROUNDS))


main(case, HERE, executors=10)
