"""After machines were added to two zones, jobs whose tasks need a rack of the
other zone than their home's are accepted and never done."""
import asyncio, os, random, sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import mill

RACKS = 4                       # of three executors each, two in each zone
JOBS, PER_S = 120, 15           # jobs in eight seconds, each for the executors of one rack
WORK_MS = 200                   # each is one task of this length
SETTLE_S = 6                    # longer than contactMs, from the time that the machine is added
FINISH_S = 14                   # bound of the rule, from the end of the traffic
IDLE_MS = 3000                  # nothing runs for so long though there is room


async def case(world, trouble):
    random.seed(5)
    names = ["n1", "n2"]
    accepted, rack = {}, {}

    if trouble:
        for name, ip in (("n3", "127.0.0.13"), ("n4", "127.0.0.14")):
            await world.add_node(name, ip)
            names.append(name)
        await world.wait_ready()
    await asyncio.sleep(SETTLE_S)

    async def submit(job):
        rack[job] = f"r1-{random.randrange(RACKS)}"
        body = mill.job([1], WORK_MS)
        body["steps"][0]["constraints"] = rack[job]
        for _ in range(8):
            status, _ = await world.request(random.choice(names), "POST", job, body)
            if status == 200:
                accepted[job] = mill.now_ms()
            if status in (200, 404, 429, 503):
                return
            await asyncio.sleep(1.3)

    clients = []
    for _ in range(JOBS):
        clients.append(asyncio.create_task(submit(mill.new_id())))
        await asyncio.sleep(random.expovariate(PER_S))
    await asyncio.gather(*clients)
    end = mill.now_ms()
    await asyncio.sleep(FINISH_S + 0.5)
    checked = mill.now_ms()
    await asyncio.sleep(IDLE_MS / 1000 + 0.5)
    busy = [r for r in world.runs if r["end"] is None or r["end"] > checked]
    breaks, states = [], {}
    for job in accepted:
        for _ in range(5):
            status, answer = await world.request("n1", "GET", job)
            if status in (200, 410):
                break
            await asyncio.sleep(0.3)
        state = answer.get("state", status)
        states[state] = states.get(state, 0) + 1
        runs = world.runs_of(job)
        idle = not any(r["end"] is None or r["end"] > checked for r in runs)
        if status == 200 and state in ("queued", "running") and idle and not busy:
            breaks.append(f"LOST: job {job} for {rack[job]}, accepted at {accepted[job]:.1f}, is {state} at "
                          f"{mill.now_ms():.1f}, {(mill.now_ms() - end) / 1000:.1f} s after the end of the traffic, "
                          f"with {len(runs)} runs so far, and no task runs on any executor")
    print(f"{len(accepted)} of {JOBS} jobs were accepted; their states at the end: {states}")
    return breaks


mill.main(case, HERE, nodes=2, executors=12, zones=("z1", "z2"), racks=RACKS)
