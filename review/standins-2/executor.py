"""Stand-in of an executor that takes its orders by calls."""

import asyncio
import json
import re
import time

from wire import Server

MAX_HOLD_MS = 1000
STOP_MS = 20
HEARTBEAT_S = 1.5


class Run:
    def __init__(self, number, start_ms, end_ms, how):
        self.number = number
        self.start_ms = start_ms
        self.end_ms = end_ms
        self.how = how


class Executor:
    """One machine.  start() begins a life, stop() ends it without notice.
    @behave(task, spec) returns how long the task runs in ms and how it ends.
    """

    def __init__(self, store, record, name, behave, *, service="tasks-service",
                 zone="dc1", labels=("a", "r1"), cpu=32000, with_born=False):
        self.store = store
        self.record = record
        self.name = name
        self.behave = behave
        self.service = service
        self.zone = zone
        self.labels = list(labels)
        self.cpu = cpu
        self.with_born = with_born
        self.server = Server(self.handle)
        self.port = 0
        self.ticker = None

    async def start(self):
        self.born_ms = int(time.time() * 1000)
        self.born_s = time.monotonic()
        self.fence = 0
        self.runs = {}
        self.finished = []
        self.next_n = 1
        self.acked = 0
        self.lapses_at_end = {}
        self.ended = {}      # task -> highest run that was stopped or ended
        self.deadline_ms = 0
        self.lapses = 0      # how often the lease has lapsed in this life
        self.lapsed = True   # no lease is held now
        self.seq = 0
        self.changed = asyncio.Event()
        await self.server.start(self.port)
        self.port = self.server.port
        self.beat()
        self.ticker = asyncio.ensure_future(self.tick())
        self.record("executor_start", executor=self.name, labels=self.labels,
                    born=self.born_ms)

    async def stop(self):
        """The process ends; all that it ran and knew is gone."""
        self.record("executor_crash", executor=self.name,
                    running=sorted(self.runs))
        self.ticker.cancel()
        await self.server.stop()
        self.runs = {}

    def clock_ms(self):
        return 1000 + int((time.monotonic() - self.born_s) * 1000)

    def entry(self):
        entry = {"service": self.service, "addr": "127.0.0.1:%d" % self.port,
                 "zone": self.zone, "version": "v1", "slots": 8,
                 "state": "ready", "coldLeftMs": 0,
                 "capacity": {"cpu": self.cpu, "memMb": 131072, "gpu": 0},
                 "labels": self.labels, "clockMs": self.clock_ms(),
                 "seq": self.seq}
        if self.with_born:
            entry["born"] = self.born_ms
        return entry

    def beat(self):
        self.seq += 1
        self.beat_s = time.monotonic()
        self.store.put("keyed.servers", self.name,
                       json.dumps(self.entry()).encode())

    async def tick(self):
        while True:
            await asyncio.sleep(0.005)
            now = self.clock_ms()
            if now >= self.deadline_ms and not self.lapsed:
                self.lapsed = True
                self.lapses += 1
                for task in list(self.runs):
                    self.end(task, "lapsed")
            for task, run in list(self.runs.items()):
                if now >= run.end_ms:
                    self.end(task, run.how)
            if time.monotonic() - self.beat_s >= HEARTBEAT_S:
                self.beat()

    def end(self, task, how):
        run = self.runs.pop(task)
        self.ended[task] = max(self.ended.get(task, 0), run.number)
        self.finished.append([self.next_n, task, run.number, how, ""])
        self.lapses_at_end[self.next_n] = self.lapses
        self.record("end", executor=self.name, task=task, run=run.number,
                    how=how, n=self.next_n, born=self.born_ms)
        self.next_n += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def answer(self, status, **fields):
        fields["clockMs"] = self.clock_ms()
        if self.with_born:
            fields["born"] = self.born_ms
        return status, fields

    def extend(self, deadline_ms):
        if deadline_ms:
            self.deadline_ms = max(self.deadline_ms,
                                   min(deadline_ms,
                                       self.clock_ms() + MAX_HOLD_MS))
            self.lapsed = self.lapsed and self.deadline_ms <= self.clock_ms()

    async def handle(self, request):
        if request.path == "/health":
            return self.answer(200)
        target = request.headers.get("x-masticmill-target-instance")
        if target is not None and target != self.name:
            return self.answer(421)
        body = request.json()
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return self.answer(409, reason="fence")
        self.fence = token
        if request.path == "/run-start":
            return self.run_start(body)
        if request.path == "/run-stop":
            return await self.run_stop(body)
        if request.path == "/hold":
            return await self.hold(body)
        return self.answer(404)

    def run_start(self, body):
        task, number = body["task"], body["run"]
        deadline_ms = body.get("deadlineMs", 0)
        if deadline_ms and deadline_ms <= self.clock_ms():
            return self.answer(409, reason="late")
        self.extend(deadline_ms)
        run = self.runs.get(task)
        if run and run.number == number:
            return self.answer(200)
        if run or number <= self.ended.get(task, 0):
            return self.answer(409, reason="old")
        length_ms, how = self.behave(task, body.get("spec", ""))
        now = self.clock_ms()
        self.runs[task] = Run(number, now, now + length_ms, how)
        self.record("start", executor=self.name, task=task, run=number,
                    labels=self.labels, spec=body.get("spec", ""))
        return self.answer(200)

    async def run_stop(self, body):
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        self.record("stop", executor=self.name, task=task, run=number)
        if run and run.number <= number:
            await asyncio.sleep(STOP_MS / 1000)
            if self.runs.get(task) is run:
                self.end(task, "stopped")
        self.ended[task] = max(self.ended.get(task, 0), number)
        return self.answer(200)

    async def hold(self, body):
        self.extend(body.get("deadlineMs", 0))
        acked = body.get("ackedUpto", 0)
        for row in self.finished:
            if row[0] <= acked:
                self.record("taken_note", executor=self.name, task=row[1],
                            run=row[2], how=row[3], n=row[0],
                            born=self.born_ms,
                            lease_lapsed=self.lapses
                            != self.lapses_at_end[row[0]])
        self.finished = [row for row in self.finished if row[0] > acked]
        wait_s = min(body.get("waitMs", 0), 2000) / 1000
        if wait_s and not self.finished:
            try:
                await asyncio.wait_for(self.changed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        now = self.clock_ms()
        running = []
        for task, run in self.runs.items():
            done = (now - run.start_ms) / max(1, run.end_ms - run.start_ms)
            running.append([task, run.number, "", min(99, int(100 * done)), 0])
        return self.answer(200, running=running, finished=self.finished[:500])


def by_spec(task, spec):
    """The spec says how long a task runs, and whether it fails."""
    match = re.search(r"ms=(\d+)", spec)
    length_ms = int(match.group(1)) if match else 100
    return length_ms, "failed" if "fails" in spec else "done"
