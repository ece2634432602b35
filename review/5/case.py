"""The store is down for 7.5 s, seven times with calm between, while executors
end more than 500 short tasks and kept jobs end there too."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

from deployment import CannotRun, Deployment, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 7
OUTAGE_S = 7.5
CALM_S = 5
EXECUTORS = 3
NODES = 3
SHORT_JOBS = 4     # kept jobs of each round
LONG_JOBS = 6


def job(ms, count, **fields):
    return dict(fields, spec="ms=%d" % ms,
                steps=[{"count": count, "cpu": 500, "memMb": 64,
                        "estimateMs": ms}])


BEST_EFFORT = job(30, 8, bestEffort=True)
SHORT = job(500, 2)
LONG = job(5500, 1)


async def usual_traffic(d, client, until):
    i = 0
    while not until.is_set():
        i += 1
        status, _ = await d.client(
            d.nodes[(client + i) % NODES], "POST", "%08x%08x" % (client, i),
            BEST_EFFORT, timeout_s=20, deadline_ms=20000)
        if status != 200:
            await asyncio.sleep(0.2)


async def outage(d, number):
    first = 0xa9000000 + number * 0x10000000000
    kept = [(first + i * 7919, SHORT) for i in range(SHORT_JOBS)]
    kept += [(first + 0x1000000 + i * 104729, LONG) for i in range(LONG_JOBS)]
    await asyncio.gather(*(d.submit(d.nodes[i % NODES], "%016x" % name, body)
                           for i, (name, body) in enumerate(kept)))
    await asyncio.sleep(0.2)
    d.record("store_down" if TROUBLE else "no_trouble")
    d.store.down = "silent" if TROUBLE else ""
    await asyncio.sleep(OUTAGE_S)
    d.store.down = ""
    d.record("store_up")
    await asyncio.sleep(CALM_S)


def starts_after_done(d):
    """Kept tasks that were started after a run that had ended done, where
    that end was taken note of then or later and the lease had not lapsed
    between the end and the note."""
    noted = {(e["executor"], e["n"]) for e in d.seen("taken_note", how="done")
             if not e["lease_lapsed"]}
    best_effort = {e["job"] for e in d.seen("client_sends")
                   if not e["job"].startswith("00000")}
    done, found = {}, []
    for e in d.events:
        if e.get("task", "")[:16] in best_effort:
            continue
        if e["what"] == "end" and (e["executor"], e["n"]) in noted:
            done.setdefault(e["task"], e)
        elif e["what"] == "start" and e["task"] in done:
            first = done[e["task"]]
            found.append("TWICE: task %s ended done on %s at %.2f s, which "
                         "was taken note of, and was started on %s at %.2f s"
                         % (e["task"], first["executor"], first["t"],
                            e["executor"], e["t"]))
    return found


async def main():
    async with Deployment(HERE, nodes=NODES) as d:
        for i in range(EXECUTORS):
            await d.add_executor("i-%d" % i)
        await d.start_nodes()
        over = asyncio.Event()
        # The ids of best-effort jobs begin with the number of their client.
        traffic = [asyncio.ensure_future(usual_traffic(d, 0x10000 + k, over))
                   for k in range(2 * EXECUTORS)]
        await asyncio.sleep(1)
        for number in range(ROUNDS):
            await outage(d, number)
        await asyncio.sleep(4)
        over.set()
        await asyncio.wait(traffic, timeout=4)
        if not d.seen("end", how="done"):
            raise CannotRun("no task ended")
        return starts_after_done(d)


run_case(main, HERE)
