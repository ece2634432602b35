"""An accepted job is dropped from the store when its state was asked for just
before its submission arrived.  When the machine that runs it dies, it is lost."""
import asyncio, os, random, sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import mill

JOBS, PER_S = 180, 40           # jobs in four or five seconds
WORK_MS = 6000                  # each is one task that works for so long
VISIBLE_MS = 3000               # bound of the rule
CONTACT_MS = 3000


async def case(world, trouble):
    random.seed(1)
    names = list(world.nodes)
    accepted = {}               # job -> time of the 200
    writes = {}                 # job -> what the store was told of it, in order

    def on_append(instance, part, key, value):
        writes.setdefault(key, []).append(f"{'record' if value else 'drop'} by {instance} at {mill.now_ms():.1f}")

    world.store.on_append = on_append

    async def submit(job):
        """Sends the job, and again after no answer, a 502 or a 504; a 503 or 429 is final."""
        for _ in range(8):
            status, _ = await world.request(random.choice(names[1:]), "POST", job, mill.job([1], WORK_MS))
            if status == 200:
                accepted[job] = mill.now_ms()
            if status in (200, 404, 429, 503):
                return
            await asyncio.sleep(1.3)

    async def watch(job):
        """A second client looks at the job's state from time to time, from its submission on."""
        for _ in range(4):
            await world.request(random.choice(names[1:]), "GET", job)
            await asyncio.sleep(0.5)

    clients = []
    for _ in range(JOBS):
        job = mill.new_id()
        clients += [asyncio.create_task(watch(job)), asyncio.create_task(submit(job))]
        await asyncio.sleep(random.expovariate(PER_S))
    await asyncio.sleep(0.5)
    if trouble:
        world.kill(names[0])
    killed = mill.now_ms()
    await asyncio.gather(*clients)
    # Later than contactMs after the kill, at machines that were not touched.
    await asyncio.sleep(max(0, killed + CONTACT_MS + VISIBLE_MS + 2000 - mill.now_ms()) / 1000)
    breaks = []
    for job, at in accepted.items():
        for _ in range(5):
            sent = mill.now_ms()
            status, answer = await world.request(names[1], "GET", job)
            if status in (200, 410):
                break
            await asyncio.sleep(0.5)
        if status == 410 and sent > at + VISIBLE_MS:
            breaks.append(f"LOST: job {job} was accepted at {at:.1f}, nobody cancelled it, and a GET at {sent:.1f} at "
                          f"{names[1]} is answered 410; its runs: "
                          + (", ".join(str(r["how"]) for r in world.runs_of(job)) or "none")
                          + "; the store was told: " + ", ".join(writes.get(job, [])))
    print(f"{len(accepted)} of {JOBS} jobs were accepted; {len(breaks)} of them are unknown afterwards")
    return breaks


mill.main(case, HERE, nodes=3, executors=24)
