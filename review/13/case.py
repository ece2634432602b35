"""The operator adds a queue with advice."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

from mill import main  # noqa: E402

ADVICE = {"decisionMs": 50, "eachMs": 2, "validityMs": 3000}
FINISH_S = 14


async def case(c, trouble):
    await c.start()
    more = {"advice": ADVICE} if trouble else {}
    c.routes.append(c.route("r-2", "/advised/", **more))
    c.configure(2)
    await asyncio.sleep(4)
    job = {"spec": "ms=300 advised=%d" % trouble,
           "steps": [{"count": 2, "cpu": 2000, "memMb": 64,
                      "estimateMs": 300}]}
    ids = ["%016x" % (k + 1) for k in range(6)]
    accepted = [await c.submit("/advised/" + i, job, tries=2, at=n)
                for n, i in enumerate(ids)]
    await asyncio.sleep(FINISH_S)
    lost = []
    for n, i in enumerate(ids):
        state = await c.state("/advised/" + i, at=n)
        c.record("job", i, state, "starts", len(c.starts_of(i)))
        if accepted[n] and state != "completed" and not c.starts_of(i):
            lost.append(state)
    return lost and ("LOST: none of the tasks of %d of %d accepted jobs has"
                     " run; they are shown as %s" % (
                         len(lost), sum(accepted),
                         ", ".join(str(s) for s in lost)))


main(case, HERE)
