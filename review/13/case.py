"""A connection is reset, the job runs at the instance that the retry has
reached, and its cancel reaches the first one again."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

from mill import main, now_ms  # noqa: E402

STEP = {"count": 1, "cpu": 2000, "memMb": 64, "estimateMs": 900}
JOB = {"spec": "ms=900", "bestEffort": True,
       "steps": [STEP] + [dict(STEP, after=[k]) for k in range(9)]}
JOB_ID = "00000000000000a7"
PATH = "/jobs/" + JOB_ID
CANCEL_MS = 3000
RETRANSMIT_S = 1.3


async def case(c, trouble):
    await c.start()
    wait = {"X-Masticmill-Deadline-Ms": "20000"}
    home = 1  # that the hash of the client selects
    at = home
    if trouble:
        # The connection is reset before the request has arrived.
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", c.instances[home].front)
        writer.write(b"POST %s HTTP/1.1\r\n" % PATH.encode())
        await writer.drain()
        writer.transport.abort()
        c.record("client", "POST", PATH, "reset at", c.instances[home].name)
        await asyncio.sleep(RETRANSMIT_S)
        at = 0
    post = asyncio.ensure_future(c.client("POST", PATH, JOB, at=at,
                                          timeout_s=20, headers=wait))
    await asyncio.sleep(1)
    status, _ = await c.client("DELETE", PATH, at=home)
    cancelled_ms = now_ms()
    await post
    late = [s for s in c.starts_of(JOB_ID)
            if s[0] > cancelled_ms + CANCEL_MS]
    for s in late:
        c.record("late start", *s)
    return (status == 410 or 200 <= status < 300) and late and (
        "UNASKED: the cancel was acknowledged with %d, and %d tasks started"
        " over cancel_ms later" % (status, len(late)))


main(case, HERE)
