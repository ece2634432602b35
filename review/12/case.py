"""A queue with ten attempts, and executors that fail all that they start."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

from mill import main  # noqa: E402

ATTEMPTS = 10
JOB = {"spec": "ms=100", "steps": [{"count": 1, "cpu": 2000, "memMb": 64,
                                    "estimateMs": 100}]}


async def case(c, trouble):
    c.routes[0]["attempts"] = ATTEMPTS
    for x in c.executors:
        x.fails = bool(trouble)
    await c.start()
    ids = ["%016x" % (k + 1) for k in range(4)]
    await asyncio.gather(
        *(c.submit("/jobs/" + i, JOB, at=n) for n, i in enumerate(ids)))
    await asyncio.sleep(25)
    over = 0
    for n, i in enumerate(ids):
        noted = sorted(a[0] for a in c.acks
                       if a[1].startswith(i) and a[4] == "failed")
        starts = c.starts_of(i)
        late = [s for s in starts if len(noted) >= ATTEMPTS
                and s[0] > noted[ATTEMPTS - 1]]
        state = await c.state("/jobs/" + i, at=n)
        c.record("job", i, state, "starts", len(starts), "failed ends noted",
                 len(noted), "starts after attempts", len(late))
        over += bool(late)
    return over and ("BUDGET: tasks of %d of %d jobs started after %d noted"
                     " ends as failed" % (over, len(ids), ATTEMPTS))


main(case, HERE)
