#!/usr/bin/env python3
"""Randomized fault soak of real processes on loopback.

Starts a platform stand-in, upstream stand-ins and instances of
masticmill-node as processes, each link through a proxy of its own, and
injects faults from outside.  Processes are killed, stopped, paused, restarted
and told to reload.  Connections are delayed, reset, blocked in one or both
directions.  The store is down or slow, loses answers, drops its history and
reassigns partitions.  Calls to upstreams are lost or carried out late, tasks
crash their upstreams, and the capacity of upstreams changes.

The answers that callers got and the run logs of the upstreams are checked
against these guarantees.  A finding begins with the name of the guarantee:
  room       no upstream exceeded its capacity, nor a smaller capacity that it
             reported to the store more than a grace period ago
  twice      no task of a job ran twice at the same time
  once       a non-idempotent task started at most once
  whole      a job answered as complete had every task done
  unrun      a job whose every answer was a refusal started no task
  leaving    an upstream that announced its shutdown started nothing more than
             two seconds after the announcement
  knew       no instance started a task on an upstream that it had itself
             listed as draining, or in a data centre that it knew as evacuated
  evacuated  no task was started in a data centre more than two seconds after
             the store had accepted its evacuation, until that ended
  config     no instance went back to an older configuration
  kept       an accepted kept job ended, completed or with a failed task
  again      no task of a kept job started after it was done, unless its
             upstream died or was unreachable around then
  cancelled  no task of a kept job started more than a second after its
             cancellation was acknowledged
  poison     a task that crashes its upstreams crashed three upstreams at most.
             The count starts again once no instance is left that knew it.  The
             three do not include crashes of an upstream whose owner died or was
             stalled before it could notice the crash, but all crashes together
             are five at most.  The job of such a task was never answered as
             complete, and no other job was given up for crashes
  answered   a job of a burst got one answer, with the state of each of its
             tasks, unless its instance was killed, stopped or stalled meanwhile
  back       each instance serves again after the faults
  exits      no process exited by itself

A kept job is a durable job: it is stored before its caller is told that it is
accepted, and is run to its end whatever instance dies.

With --evacuations there are two data centres, which are evacuated and returned
to service at random, also both at once.

With --high-load there are bursts of more jobs than the upstreams have capacity
for, and odd seeds run with the settings for high load (HIGH_LOAD_SETTINGS).

  soak.py [--seed N] [--seeds N] [--file F] [--seconds S] [--jobs N] [--bin DIR] [--keep DIR] [--evacuations]
          [--high-load]
"""
import argparse, asyncio, concurrent.futures, json, os, random, shutil, signal, socket, subprocess, sys, tempfile, time, urllib.request

RESEND_DELAY_S = 1.3        # callers wait this long before they send a job again
SETTLE_S = 7                # fault-free time at the end; longer than every lease and TTL
KEPT_END_TIMEOUT_S = 20     # after SETTLE_S, every accepted kept job ends within this time
MAX_CRASHES = 3             # upstreams that one task may crash, counting crashes that an owner could notice
MAX_ALL_CRASHES = 5         # upstreams that one task may crash, counting all crashes
CRASH_NOTICE_S = 1.3        # the owner of a crashed upstream notices the crash within this time
POISON_CRASH_MS = 20        # time from the start of a poison task to the crash
CLOCK_ERROR_MS = 10         # largest error of a crash's time: upstreams crash at ticks, and two clocks are read
HANDLER_S = 0.5             # a started process installs its signal handlers within this time
SYNC_S = 1.0                # a started instance learns what the other instances know within this time
CAPACITY_GRACE_S = 4.0      # a smaller capacity is in force after this time
STORE_FAULT_GRACE_S = 12.0  # a smaller capacity is in force after this time if reads of the store failed meanwhile
DRAIN_GRACE_S = 2.0         # a draining upstream gets no more starts after this time
EVACUATION_GRACE_S = 2.0    # an evacuated data centre gets no more starts after this time
DATACENTRES = ("dc1", "dc2")
NODES, UPSTREAMS, SLOTS = 3, 5, 3  # instances, upstreams, slots of each upstream
HIGH_LOAD_SETTINGS = ("dispatch.late_binding=true", "dispatch.overload_control=true", "ownership.transfer_runs=true")
BURST_CALLERS = 24          # a burst's jobs in progress; their 2 to 4 tasks are more than 3 times the capacity
BURST_TIMEOUT_S = 10        # callers of a burst wait for longer than any job takes
NODE_DOWN_S = 6             # a killed, stopped or stalled instance may be without answers for this long


# Returns the time in ms since the machine was started, on the clock of the run logs.
def now_ms():
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6


class Proxy:
    """A TCP relay that can delay, reset or block what it forwards."""

    def __init__(self, port, target):
        self.port, self.target = port, target
        self.delay_s, self.blocked, self.answers_blocked = 0.0, False, False
        self.writers, self.server = set(), None

    # Accepts connections from now on.
    async def start(self):
        self.server = await asyncio.start_server(self.relay, "127.0.0.1", self.port)

    # Relays one connection, in both directions, until it ends.
    async def relay(self, reader, writer):
        self.writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            self.writers.discard(writer)
            return
        self.writers.add(target_writer)
        try:
            await asyncio.gather(self.forward(reader, target_writer, False), self.forward(target_reader, writer, True))
        except asyncio.CancelledError:
            pass  # the run of this seed has ended
        for w in (writer, target_writer):
            self.writers.discard(w)
            w.close()

    # Forwards one direction of a connection; is_answer: the direction from the target to the caller.
    async def forward(self, reader, writer, is_answer):
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while self.blocked or (self.answers_blocked and is_answer):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()

    # Aborts all connections.
    def reset(self):
        for w in list(self.writers):
            w.transport.abort()

    # Ends the faults of the link.  The connections of a blocked link are aborted.
    def heal(self):
        if self.blocked or self.answers_blocked:
            self.reset()
        self.delay_s, self.blocked, self.answers_blocked = 0.0, False, False


# Sends an HTTP request.  Returns the status and the JSON answer, or 0 and {} without an answer.
def call(method, port, path, body=None, timeout=4):
    req = urllib.request.Request(f"http://127.0.0.1:{port}{path}", method=method,
                                 data=json.dumps(body).encode() if body is not None else None)
    try:
        with urllib.request.urlopen(req, timeout=timeout) as r:
            return r.status, json.load(r)
    except urllib.error.HTTPError as e:
        try:
            return e.code, json.load(e)
        except ValueError:
            return e.code, {}
    except (OSError, ValueError):
        return 0, {}


# The processes, proxies, callers, faults and checks of one seed.
class Fixture:
    def __init__(self, seed, args, folder, base):
        self.rnd, self.args, self.dir, self.base = random.Random(seed), args, folder, base
        # Processes by name; names of those whose exit is no finding; names of those stopped with SIGSTOP.
        self.procs, self.may_exit, self.paused = {}, set(), set()
        # Proxies by name; texts of the findings; jobs that are not kept -> what their callers know of them.
        self.proxies, self.findings, self.jobs = {}, [], {}
        self.kept_jobs = {}         # kept job -> what its caller knows of it
        # Kept jobs draw from a generator of their own, so that they don't change the faults of a seed.
        self.kept_rnd = random.Random(f"kept-{seed}")
        # Poison jobs and capacity changes draw from a generator of their own, for the same reason.
        self.extra_rnd = random.Random(f"extra-{seed}")
        # Evacuations draw from a generator of their own, for the same reason.
        self.evacuation_rnd = random.Random(f"evacuations-{seed}")
        # Bursts draw from a generator of their own, for the same reason.
        self.burst_rnd = random.Random(f"bursts-{seed}")
        self.high_load_settings = args.high_load and seed % 2 == 1
        self.bursts = {}            # job of a burst -> (instance, ms of submission and answer, status, states of tasks)
        self.burst_threads = concurrent.futures.ThreadPoolExecutor(BURST_CALLERS) if args.high_load else None
        self.evacuation_periods = {}  # data centre -> [[ms when it was evacuated, ms when that ended]]
        self.poison_answers = {}    # poison job -> answers that its caller got
        self.capacity_changes = {}  # upstream -> [ms] of each change of its capacity
        self.counts_lost_ms = []    # ms when an instance started while no other knew the crash counts
        self.node_start_ms = {}     # instance -> ms of its last start
        self.node_down_ms = {}      # instance -> [ms] when it was killed, stopped or stalled
        self.clock_readings = []    # (wall clock, clock of the run logs) in ms
        self.link_faults = {}       # proxy port -> [(from, to)] ms of the faults of its link
        self.drain_since_ms = {}    # draining upstream -> ms when its drain mode was set
        self.drain_periods = {}     # upstream -> [(ms when its drain mode was set, ms when it was restarted)]
        self.upstream_down_ms = {}  # upstream -> [ms] when it was killed or crashed
        # Newest configuration that was published; newest one that the store accepted;
        # (instance, number of its start) -> configuration in force there; instance -> number of its starts.
        self.published_version, self.accepted_version, self.seen_versions, self.boots = 1, 0, {}, {}
        self.stopping = False       # callers and watchers end when it is set
        self.store_faults = []      # (from, to) ms in which an instance may have failed to read the store
        self.faulted = set()        # processes that a fault in progress controls

    # ---- processes
    # Starts a program as the process of that name.  sets: its settings, KEY=VALUE.
    def spawn(self, name, program, *sets):
        log = open(f"{self.dir}/{name}.log", "ab")
        argv = [f"{self.args.bin}/{program}"] + [x for s in sets for x in ("--set", s)]
        self.procs[name] = subprocess.Popen(argv, stdout=log, stderr=log)
        self.may_exit.discard(name)

    # Returns the port of number i of a kind of process, or of proxy (px-...).
    def port(self, kind, i):
        return self.base + {"platform": 0, "up": 10, "front": 20, "ready": 25, "mesh": 30, "state": 35,
                            "px-store": 40, "px-up": 50, "px-mesh": 60}[kind] + i

    # Returns the data centre of instance or upstream i.
    def datacentre(self, i):
        return DATACENTRES[i % 2 if self.args.evacuations else 0]

    def start_platform(self):
        self.spawn("platform", "masticmill-platform", f"platform.port={self.port('platform', 0)}")

    def start_upstream(self, i):
        self.spawn(f"up{i}", "masticmill-upstream", f"upstream.port={self.port('up', i)}", f'upstream.name="up{i}"',
                   f"upstream.slots={SLOTS}", f'upstream.datacentre="{self.datacentre(i)}"',
                   f'upstream.platform_url="http://127.0.0.1:{self.port("platform", 0)}"',
                   f'upstream.advertise="127.0.0.1:{self.port("px-up", i)}"', "upstream.heartbeat_ms=300",
                   f'upstream.run_log="{self.dir}/up{i}.runs"', 'upstream.poison_jobs="p"', "upstream.back_ms=2000")
        if i in self.drain_since_ms:
            self.drain_periods.setdefault(i, []).append((self.drain_since_ms.pop(i), now_ms()))

    # Returns whether instance i runs and has had the time to learn what the other instances know.
    def in_sync(self, i):
        name = f"node{i}"
        return (name in self.procs and self.procs[name].poll() is None and name not in self.may_exit | self.paused
                and now_ms() - self.node_start_ms[i] > SYNC_S * 1000)

    def start_node(self, i):
        if not any(self.in_sync(k) for k in range(NODES) if k != i):
            self.counts_lost_ms.append(now_ms())
        self.node_start_ms[i] = now_ms()
        self.boots[i] = self.boots.get(i, 0) + 1
        self.spawn(f"node{i}", "masticmill-node", f'node.name="node{i}"',
                   f'node.datacentre="{self.datacentre(i)}"', 'node.datacentres=["dc1","dc2"]',
                   f'node.front="127.0.0.1:{self.port("front", i)}"', f'node.ready="127.0.0.1:{self.port("ready", i)}"',
                   f"node.mesh_port={self.port('mesh', i)}", f"node.state_port={self.port('state', i)}",
                   f'node.mesh_advertise="127.0.0.1:{self.port("px-mesh", i)}"',
                   f'store.address="127.0.0.1:{self.port("px-store", i)}"',
                   *(HIGH_LOAD_SETTINGS if self.high_load_settings else ()))

    # Sends a signal that may end a process, and waits for its end in the case of SIGKILL.
    def kill(self, name, sig=signal.SIGKILL):
        p = self.procs[name]
        self.may_exit.add(name)
        if name.startswith("node"):
            self.node_down_ms.setdefault(int(name[4:]), []).append(now_ms())
        if name in self.paused:
            p.send_signal(signal.SIGCONT)
            self.paused.discard(name)
        if p.poll() is None:
            p.send_signal(sig)
        if sig == signal.SIGKILL:
            p.wait()
            if name.startswith("up"):
                self.upstream_down_ms.setdefault(int(name[2:]), []).append(now_ms())

    def check_exits(self):
        for name, p in self.procs.items():
            if p.poll() is not None and name not in self.may_exit:
                self.findings.append(f"exits: {name} ended by itself with {p.returncode}")
                self.may_exit.add(name)

    # ---- callers
    # Submits one job after the other, each with 1 to 5 tasks; in 30 % of the jobs they are not idempotent.
    async def run_caller(self, caller_no):
        job_no = 0
        while not self.stopping:
            job_no += 1
            job = f"c{caller_no}-{job_no}"
            non_idempotent = self.rnd.random() < 0.3
            tasks = [{"id": f"t{k}", "payload": "x", "run_ms": self.rnd.choice([20, 60, 150, 400, 900]),
                      "deadline_ms": 6000, "idempotent": not non_idempotent} for k in range(self.rnd.randint(1, 5))]
            self.jobs[job] = {"tasks": len(tasks), "once": non_idempotent, "answers": []}
            await self.submit_until_answered(job, {"job_id": job, "tasks": tasks}, non_idempotent)
            await asyncio.sleep(self.rnd.uniform(0.05, 0.4))

    # Submits a job, up to three times if it is idempotent, until an answer is final.
    async def submit_until_answered(self, job, body, non_idempotent):
        for _ in range(1 if non_idempotent else 3):
            node = self.rnd.randrange(NODES)
            timeout_s = self.rnd.choice([0.5, 6, 6, 6])
            status, answer = await asyncio.to_thread(call, "POST", self.port("front", node), "/v1/jobs", body,
                                                     timeout_s)
            self.jobs[job]["answers"].append((status, answer.get("status")))
            if status in (200, 400, 404, 429, 503):
                return
            await asyncio.sleep(RESEND_DELAY_S)

    # Submits one kept job after the other, and cancels some of them.
    async def run_kept_caller(self, caller_no):
        job_no, r = 0, self.kept_rnd
        while not self.stopping:
            job_no += 1
            job = f"k{caller_no}-{job_no}"
            tasks = [{"id": f"t{k}", "payload": "x", "run_ms": r.choice([20, 60, 150, 400, 900]),
                      "deadline_ms": 6000, "idempotent": True} for k in range(r.randint(1, 4))]
            kept_job = self.kept_jobs[job] = {"accepted": False, "cancelled_ms": None, "asked": False,
                                              "tasks": len(tasks)}
            for _ in range(3):
                status, _ = await asyncio.to_thread(call, "POST", self.port("front", r.randrange(NODES)), "/v1/jobs",
                                                    {"job_id": job, "kept": True, "tasks": tasks}, 4)
                kept_job["accepted"] = kept_job["accepted"] or status == 202
                if status in (202, 429, 503) and r.random() > 0.1:  # a tenth is sent again in spite of the answer
                    break
                await asyncio.sleep(RESEND_DELAY_S)
            if kept_job["accepted"] and r.random() < 0.15:
                await asyncio.sleep(r.uniform(0, 0.5))
                kept_job["asked"] = True
                status, answer = await asyncio.to_thread(call, "DELETE", self.port("front", r.randrange(NODES)),
                                                         f"/v1/jobs/{job}", None, 4)
                if status == 200 and answer.get("state") == "cancelled":
                    kept_job["cancelled_ms"] = now_ms()
            await asyncio.sleep(r.uniform(0.1, 0.6))

    # Submits one poison job after the other, each of them up to four times.
    async def run_poison_caller(self):
        job_no, r = 0, self.extra_rnd
        while not self.stopping:
            await asyncio.sleep(r.uniform(2, 8))
            job_no += 1
            job, answers = f"p-{job_no}", []
            tasks = [{"id": "t0", "payload": "x", "run_ms": 400, "deadline_ms": 12000, "idempotent": True}]
            self.poison_answers[job] = answers
            for _ in range(4):
                status, answer = await asyncio.to_thread(call, "POST", self.port("front", r.randrange(NODES)), "/v1/jobs",
                                                         {"job_id": job, "tasks": tasks}, r.choice([1, 6]))
                answers.append((status, answer.get("status")))
                if self.stopping:
                    break
                await asyncio.sleep(RESEND_DELAY_S)

    # Submits bursts of more jobs than there is capacity for.
    async def run_bursts(self):
        r, burst_no = self.burst_rnd, 0
        while not self.stopping:
            await asyncio.sleep(r.uniform(0.5, 3))
            burst_no += 1
            end = time.monotonic() + r.uniform(0.5, 2.5)
            self.log_fault(f"overload {burst_no} {end - time.monotonic():.1f}s")
            await asyncio.gather(*(self.run_burst_caller(f"b{burst_no}-{k}", end, random.Random(r.random()))
                                   for k in range(BURST_CALLERS)))

    # Submits one job after the other until the burst ends.
    async def run_burst_caller(self, name, end, r):
        job_no = 0
        while time.monotonic() < end and not self.stopping:
            job_no += 1
            job, node, once = f"{name}-{job_no}", r.randrange(NODES), r.random() < 0.5
            tasks = [{"id": f"t{k}", "payload": "x", "run_ms": r.choice([60, 150, 400]), "deadline_ms": 6000,
                      "idempotent": not once} for k in range(r.randint(2, 4))]
            submitted = self.jobs[job] = {"tasks": len(tasks), "once": once, "answers": []}
            from_ms = now_ms()
            status, answer = await asyncio.get_running_loop().run_in_executor(
                self.burst_threads, call, "POST", self.port("front", node), "/v1/jobs", {"job_id": job, "tasks": tasks},
                BURST_TIMEOUT_S)
            submitted["answers"].append((status, answer.get("status")))
            states = [t.get("state") for t in answer.get("tasks", [])]
            self.bursts[job] = (node, from_ms, now_ms(), status, states)
            # Refusals come at once; without a pause their callers would slow down the proxies of this process.
            await asyncio.sleep(r.uniform(0.1, 0.4))

    # Checks "answered".
    def check_bursts(self):
        for job, (node, from_ms, to_ms, status, states) in self.bursts.items():
            if any(from_ms - NODE_DOWN_S * 1000 < down < to_ms for down in self.node_down_ms.get(node, [])):
                continue
            if status == 0:
                self.findings.append(f"answered: {job} got no answer from node{node} in {to_ms - from_ms:.0f} ms")
            if states and len(states) != self.jobs[job]["tasks"]:
                self.findings.append(f"answered: {job} got {len(states)} states of {self.jobs[job]['tasks']} tasks")
            if status == 503 and any(state != "not_run" for state in states):
                self.findings.append(f"answered: {job} was refused with tasks {states}")

    # Changes the capacities of random upstreams, and restores all of them at the end.
    async def change_capacities(self):
        r = self.extra_rnd
        while not self.stopping:
            await asyncio.sleep(r.uniform(0.5, 3))
            slots = SLOTS if self.stopping else r.randint(0, SLOTS)
            await self.set_slots(r.randrange(UPSTREAMS), slots)
        for i in range(UPSTREAMS):
            await self.set_slots(i, SLOTS)

    # Sets the capacity of an upstream to that many slots.
    async def set_slots(self, up, slots):
        self.capacity_changes.setdefault(up, []).append(now_ms())
        await asyncio.to_thread(call, "POST", self.port("up", up), "/v1/capacity",
                                {"cpu_milli": slots * 1000, "grace_ms": int(CAPACITY_GRACE_S * 1000)}, 1)

    # Evacuates random data centres and returns them to service, and all of them at the end.
    async def change_evacuations(self):
        r = self.evacuation_rnd
        while not self.stopping:
            datacentre = r.choice(DATACENTRES)
            await self.evacuate(datacentre, r.random() < 0.6)
            await asyncio.sleep(r.choice([0.05, 0.5, 1, 2, 3]))
        for datacentre in DATACENTRES:
            while not await self.evacuate(datacentre, False):
                await asyncio.sleep(0.2)

    # Requests the evacuation of a data centre, or ends it.  Returns whether the store accepted that.
    async def evacuate(self, datacentre, evacuated):
        asked_ms = now_ms()
        status, _ = await asyncio.to_thread(call, "PUT" if evacuated else "DELETE", self.port("platform", 0),
                                            f"/v1/streams/config/evacuate/{datacentre}", {} if evacuated else None, 2)
        periods = self.evacuation_periods.setdefault(datacentre, [])
        is_open = bool(periods) and periods[-1][1] == float("inf")
        if not evacuated and is_open:
            periods[-1][1] = asked_ms  # also without an answer: the request may have been carried out
        elif evacuated and status == 200 and not is_open:
            periods.append([now_ms(), float("inf")])
        self.log_fault(f"evacuate {datacentre} {evacuated} {status}")
        return status == 200

    async def wait_for_kept_jobs(self):
        """Polls random instances until each accepted kept job has ended."""
        deadline = time.monotonic() + KEPT_END_TIMEOUT_S
        for job, kept_job in self.kept_jobs.items():
            state = None
            while kept_job["accepted"] and state not in ("completed", "failed",
                                                         "cancelled") and time.monotonic() < deadline:
                node = self.kept_rnd.randrange(NODES)
                status, answer = await asyncio.to_thread(call, "GET", self.port("front", node), f"/v1/jobs/{job}", None, 2)
                state = answer.get("state") or status
                if state not in ("completed", "failed", "cancelled"):
                    await asyncio.sleep(0.2)
            kept_job["state"] = state

    # Checks "config": no instance goes back to an older configuration before it is started again.
    async def watch_config(self):
        while not self.stopping:
            for i in range(NODES):
                boot_no = self.boots[i]
                _, state = await asyncio.to_thread(call, "GET", self.port("state", i), "/", None, 1)
                current = state.get("config_version", 0)
                last = self.seen_versions.get((i, boot_no), 0)
                if current and boot_no == self.boots[i] and current < last:
                    self.findings.append(f"config: node{i} went back from {last} to {current}")
                if current and boot_no == self.boots[i]:
                    self.seen_versions[(i, boot_no)] = current
            await asyncio.sleep(0.3)

    # ---- faults
    # Publishes a newer configuration to the store.
    async def publish_config(self):
        self.published_version += self.rnd.randint(1, 3)
        body = {"version": self.published_version,
                "queues": [{"name": "q", "service": "tasks", "attempts": 3, "stretch": 3, "slo_ms": 400}]}
        version = self.published_version
        status, _ = await asyncio.to_thread(call, "PUT", self.port("platform", 0), "/v1/streams/config/config", body, 2)
        # A configuration that the store refused while it was down is in force nowhere.
        if status == 200:
            self.accepted_version = max(self.accepted_version, version)

    # Injects one random fault for 0.2 to 3 s, unless a fault in progress controls the same process.  Among the kinds,
    # "silent" blocks a link and "mute" only its answers; "lost" loses calls to an upstream, and "late" also carries
    # the lost starts out after a delay; "forget" drops the history of the store, and "deal" reassigns all partitions;
    # "herd" restarts all instances at once.
    async def inject_random_fault(self):
        r = self.rnd
        for_s = r.uniform(0.2, 3.0)
        node, up = r.randrange(NODES), r.randrange(UPSTREAMS)
        proxy = r.choice(list(self.proxies.values()))
        kind = r.choice(["kill", "kill", "term", "freeze", "hup", "killup", "reset", "delay", "silent", "mute",
                         "late", "lost", "fails", "hangs", "slowup", "drain", "down", "slow", "lose", "forget",
                         "deal", "config", "herd"])
        targets = {"kill": {f"node{node}"}, "term": {f"node{node}"}, "freeze": {f"node{node}"}, "hup": {f"node{node}"},
                 "killup": {f"up{up}"}, "drain": {f"up{up}"},
                 "herd": {f"node{i}" for i in range(NODES)}}.get(kind, set())
        if targets & self.faulted:
            return
        self.faulted |= targets
        from_ms = now_ms()
        try:
            await self.inject(kind, node, up, proxy, for_s)
        finally:
            self.faulted -= targets
            if kind in ("down", "slow", "lose", "forget", "silent", "mute", "delay", "reset"):
                self.store_faults.append((from_ms, now_ms() + 1000))

    # Injects a fault of that kind into the given instance, upstream or link.  A fault that lasts ends after for_s.
    async def inject(self, kind, node, up, proxy, for_s):
        r = self.rnd
        post = lambda port, path, body: asyncio.to_thread(call, "POST", port, path, body, 1)
        self.log_fault(f"{kind} node{node} up{up} {proxy.port} {for_s:.1f}s")
        if kind in ("kill", "term"):
            self.kill(f"node{node}", signal.SIGKILL if kind == "kill" else signal.SIGTERM)
            if kind == "term":
                await asyncio.to_thread(self.procs[f"node{node}"].wait)
            await asyncio.sleep(for_s if kind == "kill" else 0)
            self.start_node(node)
        elif kind == "freeze" and f"node{node}" not in self.may_exit:
            p = self.procs[f"node{node}"]
            self.node_down_ms.setdefault(node, []).append(now_ms())
            p.send_signal(signal.SIGSTOP)
            self.paused.add(f"node{node}")
            await asyncio.sleep(for_s)
            if f"node{node}" in self.paused:
                p.send_signal(signal.SIGCONT)
                self.paused.discard(f"node{node}")
        # SIGHUP ends a process that is still being loaded and has no signal handler yet.
        elif kind == "hup" and f"node{node}" not in self.may_exit and now_ms() - self.node_start_ms[node] > HANDLER_S * 1000:
            self.procs[f"node{node}"].send_signal(signal.SIGHUP)
        elif kind == "killup":
            self.kill(f"up{up}")
            await asyncio.sleep(for_s)
            self.start_upstream(up)
        elif kind == "reset":
            proxy.reset()
        elif kind in ("delay", "silent", "mute"):
            proxy.delay_s = 0.03 if kind == "delay" else 0
            proxy.blocked, proxy.answers_blocked = kind == "silent", kind == "mute"
            from_ms = now_ms()
            await asyncio.sleep(for_s)
            proxy.heal()
            self.link_faults.setdefault(proxy.port, []).append((from_ms, now_ms()))
        elif kind in ("late", "lost"):
            await post(self.port("up", up), "/v1/run-faults",
                       {"lose_starts": r.randint(1, 4), "lose_stops": r.randint(0, 2), "lose_holds": r.randint(0, 2),
                        "late_ms": r.randint(500, 5000) if kind == "late" else 0})
        elif kind in ("fails", "hangs"):
            await post(self.port("up", up), "/v1/run-faults", {kind: True})
            await asyncio.sleep(for_s)
            await post(self.port("up", up), "/v1/run-faults", {kind: False})
        elif kind == "slowup":
            await post(self.port("up", up), "/v1/run-faults", {"slow_percent": 400})
            await asyncio.sleep(for_s)
            await post(self.port("up", up), "/v1/run-faults", {"slow_percent": 100})
        elif kind == "drain" and up not in self.drain_since_ms:
            status, _ = await post(self.port("up", up), "/v1/mode", {"mode": "drain"})
            if status == 200:
                self.drain_since_ms[up] = now_ms()
                await asyncio.sleep(4)
                self.kill(f"up{up}")
                self.start_upstream(up)
        elif kind in ("down", "slow", "lose"):
            on = {"down": {"down": True}, "slow": {"slow_ms": 250}, "lose": {"lose_answers": 5}}[kind]
            await post(self.port("platform", 0), "/v1/faults", on)
            await asyncio.sleep(for_s)
            await post(self.port("platform", 0), "/v1/faults", {"down": False, "slow_ms": 0, "lose_answers": 0})
        elif kind in ("forget", "deal"):
            await post(self.port("platform", 0), "/v1/store-faults",
                       {"drop_history": kind == "forget", "deal_anew": kind == "deal"})
        elif kind == "config":
            await self.publish_config()
        elif kind == "herd":
            for i in range(NODES):
                self.kill(f"node{i}")
            await asyncio.sleep(for_s / 3)
            for i in range(NODES):
                self.start_node(i)

    # Appends a line to the log of injected faults.
    def log_fault(self, text):
        with open(f"{self.dir}/faults.log", "a") as f:
            f.write(f"{now_ms():.0f} {text}\n")

    # ---- checks
    def read_runs(self):
        """Returns a row per run: task, upstream, start and end in ms, how it ended."""
        rows = []
        for i in range(UPSTREAMS):
            open_runs, path = {}, f"{self.dir}/up{i}.runs"
            events = [json.loads(x) for x in open(path)] if os.path.exists(path) else []
            for run_event in events:
                key = (run_event["task"], run_event["run"])
                if run_event["event"] == "start":
                    # A dead process starts nothing, so a death that seems to be just before a start, within the
                    # error of the clocks, was just after it.
                    died = [max(down, run_event["ms"]) for down in self.upstream_down_ms.get(i, [])
                            if down >= run_event["ms"] - CLOCK_ERROR_MS]
                    # A run without an end event is counted as killed when its upstream next died.
                    open_runs[key] = [run_event["task"], i, run_event["ms"], min(died, default=float("inf")), "killed"]
                    # An instance that could not read the store had no way to know of a smaller capacity.
                    excused = any(changed < run_event["ms"]
                                  and any(fault_ms < run_event["ms"] and healed_ms > changed
                                          for fault_ms, healed_ms in self.store_faults)
                                  for changed in self.capacity_changes.get(i, [])
                                  if run_event["ms"] - changed < STORE_FAULT_GRACE_S * 1000)
                    if run_event["how"] == "over_capacity" and (len(open_runs) > SLOTS or not excused):
                        self.findings.append(f"room: up{i} over its capacity at {run_event['ms']} by {run_event['task']}")
                elif key in open_runs:
                    row = open_runs.pop(key)
                    rows.append(row[:3] + [run_event["ms"], run_event["how"]])
            rows += open_runs.values()
        return rows

    # Reads both clocks again and again: the wall clock, on which logs are written, may be slewed during a run.
    async def watch_clocks(self):
        while True:
            self.clock_readings.append((time.time() * 1000, now_ms()))
            await asyncio.sleep(0.05)

    def boot_ms(self, wall_ms):
        """Returns the time of the run logs at which the wall clock showed wall_ms."""
        wall, boot = min(self.clock_readings, key=lambda r: abs(r[0] - wall_ms))
        return wall_ms - wall + boot

    def read_crashes(self):
        """Returns the crashes by job: the ms of each crash and its upstream."""
        by_job = {}
        for i in range(UPSTREAMS):
            for line in open(f"{self.dir}/up{i}.log", errors="replace"):
                if "crashed by " not in line:
                    continue
                e = json.loads(line)
                ms = self.boot_ms(e["ts_ms"]) + POISON_CRASH_MS
                by_job.setdefault(e["message"].split()[2].split("/")[0], []).append((ms, i))
                self.upstream_down_ms.setdefault(i, []).append(ms)
        return by_job

    def read_poison_starts(self):
        """Returns the starts by poison job: the ms of each start and the instance that started it."""
        starts = {}
        for i in range(NODES):
            for line in open(f"{self.dir}/node{i}.log", errors="replace"):
                if '"event":"task_started","job":"p-' in line:
                    e = json.loads(line)
                    starts.setdefault(e["job"], []).append((self.boot_ms(e["ts_ms"]), i))
        return starts

    def crash_noticed(self, starts, ms):
        """Returns whether the instance that started the crashing task lived long enough to notice the crash at ms."""
        # An owner is an instance that logged a start of the task from 1 s before to 50 ms after the crashing start.
        owners = [i for start_ms, i in starts if -50 < ms - POISON_CRASH_MS - start_ms < 1000]
        return not any(-100 < down - ms < CRASH_NOTICE_S * 1000
                       for i in owners for down in self.node_down_ms.get(i, []))

    # Checks "poison": the number of crashes per poison job, and the answers to poison jobs and other jobs.
    def check_poison_jobs(self, by_job):
        starts = self.read_poison_starts()
        for job, crashes in by_job.items():
            # How often the crash counts were lost before -> for each crash, whether an owner could notice it.
            noticed_by_period = {}
            for ms, up in crashes:
                noticed_by_period.setdefault(sum(lost < ms for lost in self.counts_lost_ms), []).append(
                    self.crash_noticed(starts.get(job, []), ms))
            if any(sum(noticed) > MAX_CRASHES or len(noticed) > MAX_ALL_CRASHES
                   for noticed in noticed_by_period.values()):
                self.findings.append(f"poison: {job} crashed {crashes}")
        for job, answers in self.poison_answers.items():
            if any(job_status == "complete" for _, job_status in answers):
                self.findings.append(f"poison: {job} was complete")
        for i in range(NODES):
            for line in open(f"{self.dir}/node{i}.log", errors="replace"):
                if '"event":"task_given_up"' in line and not json.loads(line)["job"].startswith("p"):
                    self.findings.append(f"poison: node{i} gave up {json.loads(line)['job']}")

    def drain_end(self, up, drained, restarted, crashes):
        """Returns the ms until which an upstream drained: its crash, after which it is back and serves, or its restart."""
        return min([ms for job in crashes.values() for ms, i in job if i == up and ms > drained] + [restarted])

    # Checks the guarantees on runs: "poison", "twice", "leaving", those of kept jobs, "whole", "unrun" and "once".
    def check_runs(self):
        crashes = self.read_crashes()
        self.check_poison_jobs(crashes)
        by_task, starts, done = {}, {}, set()
        for task, up, start, end, how in sorted(self.read_runs(), key=lambda r: r[2]):
            job = task.split("/")[0]
            starts[job] = starts.get(job, 0) + 1
            if how == "done":
                done.add(task)
            for up2, start2, end2 in by_task.get(task, []):
                if start < end2 and start2 < end:
                    self.findings.append(f"twice: {task} on up{up2} {start2:.0f}-{end2:.0f} and up{up} {start:.0f}-{end:.0f}")
            by_task.setdefault(task, []).append((up, start, end))
            # An instance that could not read the store had no way to know that the upstream was draining.
            if any(drained + DRAIN_GRACE_S * 1000 < start < self.drain_end(up, drained, gone, crashes)
                   and not any(fault_ms < start and healed_ms > drained for fault_ms, healed_ms in self.store_faults)
                   for drained, gone in self.drain_periods.get(up, [])):
                self.findings.append(f"leaving: {task} started on up{up} at {start:.0f}")
            # An instance that could not read the store may not have known of the evacuation.
            if any(begun + EVACUATION_GRACE_S * 1000 < start < ended
                   and not any(fault_ms < start and healed_ms > begun for fault_ms, healed_ms in self.store_faults)
                   for begun, ended in self.evacuation_periods.get(self.datacentre(up), [])):
                self.findings.append(f"evacuated: {task} started on up{up} at {start:.0f}")
        self.check_kept_jobs()
        for job, submitted in self.jobs.items():
            answers = [a for a in submitted["answers"]]
            if any(s == 200 and t == "complete" for s, t in answers):
                missing = [k for k in range(submitted["tasks"]) if f"{job}/{k}.0" not in done]
                if missing:
                    self.findings.append(f"whole: {job} was complete without tasks {missing}")
            if answers and all(s in (429, 503) for s, _ in answers) and job in starts:
                self.findings.append(f"unrun: {job} was refused and started {starts[job]} tasks")
            if submitted["once"]:
                repeated = [t for t, r in by_task.items() if t.split("/")[0] == job and len(r) > 1]
                if repeated:
                    self.findings.append(f"once: {repeated} started more than once")

    # Checks "knew": the log of an instance must not show a start on an upstream that the instance listed as draining,
    # or in a data centre that it knew as evacuated.
    def check_known_starts(self):
        for i in range(NODES):
            draining = {}  # upstream -> ts_ms of the log line that listed it as draining
            evacuated = set()  # data centres
            for line in open(f"{self.dir}/node{i}.log", errors="replace"):
                try:
                    e = json.loads(line)
                except ValueError:
                    continue
                event, up = e.get("event"), e.get("upstream")
                if event == "started":
                    draining, evacuated = {}, set()
                elif event == "evacuation_begun":
                    evacuated.add(e["datacentre"])
                elif event == "evacuation_ended":
                    evacuated.discard(e["datacentre"])
                elif event == "task_started" and self.datacentre(int(up[2:].split(".")[0])) in evacuated:
                    self.findings.append(f"knew: node{i} ordered {e['job']}/{e['task']} on {up} at {e['ts_ms']}, evacuated")
                elif event == "upstream_listed":
                    draining.pop(up, None)
                    if e["draining"]:
                        draining[up] = e["ts_ms"]
                elif up not in draining:
                    continue
                elif event == "task_started":
                    self.findings.append(f"knew: node{i} ordered {e['job']}/{e['task']} on {up} at {e['ts_ms']}")
                elif event == "task_started_draining" and e["ts_ms"] - e["sent_ms"] > draining[up] + 1:
                    self.findings.append(f"knew: node{i} sent {e['job']}/{e['task']} to {up} at {e['ts_ms'] - e['sent_ms']}")

    # Checks "kept", "again" and "cancelled".
    def check_kept_jobs(self):
        rows = {}
        for task, up, start, end, how in self.read_runs():
            rows.setdefault(task, []).append((start, end, how, up))
        for job, kept_job in self.kept_jobs.items():
            job_runs = {t: sorted(r) for t, r in rows.items() if t.split("/")[0] == job}
            failed = any(how not in ("done", "stopped") for r in job_runs.values() for _, _, how, _ in r)
            if kept_job["accepted"] and not (kept_job["state"] == "completed"
                                             or (kept_job["state"] == "cancelled" and kept_job["asked"])
                                             or (kept_job["state"] == "failed" and failed)):
                self.findings.append(f"kept: {job} was accepted and is {kept_job['state']}")
            if kept_job["accepted"] and kept_job["state"] == "completed":
                missing = [i for i in range(kept_job["tasks"])
                           if not any(h == "done" for _, _, h, _ in job_runs.get(f"{job}/{i}.0", []))]
                if missing:
                    self.findings.append(f"kept: {job} is completed without tasks {missing}")
            for task, r in job_runs.items():
                for start, end, how, up in r:
                    later = [s for s, _, _, _ in r if s > end]
                    # A task may start again after it was done if its upstream died, or a fault of the link to it began
                    # or ended, near the time in between, or if such a fault was in progress when the task was done.
                    disruptions = self.upstream_down_ms.get(up, []) + [
                        x for c in self.link_faults.get(self.port("px-up", up), []) for x in c]
                    disruptions += [x for c in self.link_faults.get(self.port("px-up", up), [])
                                    if c[0] < end < c[1] for x in (end,)]
                    if how == "done" and later and not any(end - 1500 < at < later[0] + 1500 for at in disruptions):
                        self.findings.append(f"again: {task} done on up{up} at {end:.0f}, started at {later[0]:.0f}")
                    if kept_job["cancelled_ms"] and start > kept_job["cancelled_ms"] + 1000:
                        self.findings.append(f"cancelled: {task} started at {start:.0f}, "
                                             f"cancelled at {kept_job['cancelled_ms']:.0f}")

    # Starts the processes, injects faults while callers submit jobs, and checks the guarantees.
    async def run(self):
        clocks = asyncio.create_task(self.watch_clocks())
        for i in range(NODES):
            self.proxies[f"store{i}"] = Proxy(self.port("px-store", i), self.port("platform", 0))
            self.proxies[f"mesh{i}"] = Proxy(self.port("px-mesh", i), self.port("mesh", i))
        for i in range(UPSTREAMS):
            self.proxies[f"up{i}"] = Proxy(self.port("px-up", i), self.port("up", i))
        for p in self.proxies.values():
            await p.start()
        self.start_platform()
        await asyncio.sleep(0.3)
        await self.publish_config()
        for i in range(UPSTREAMS):
            self.start_upstream(i)
        for i in range(NODES):
            self.start_node(i)
        await asyncio.sleep(2)
        callers = [asyncio.create_task(self.run_caller(k)) for k in range(8)]
        callers += [asyncio.create_task(self.run_kept_caller(k)) for k in range(2)]
        callers += [asyncio.create_task(self.run_poison_caller()), asyncio.create_task(self.change_capacities())]
        if self.args.evacuations:
            callers.append(asyncio.create_task(self.change_evacuations()))
        if self.args.high_load:
            callers.append(asyncio.create_task(self.run_bursts()))
        watch = asyncio.create_task(self.watch_config())
        deadline, active_faults = time.monotonic() + self.args.seconds, []
        while time.monotonic() < deadline:
            self.check_exits()
            active_faults = [active for active in active_faults if not active.done()]
            if len(active_faults) < 3:
                active_faults.append(asyncio.create_task(self.inject_random_fault()))
            await asyncio.sleep(self.rnd.uniform(0.1, 0.8))
        await asyncio.gather(*active_faults)
        for p in self.proxies.values():
            p.heal()
        self.stopping = True
        await asyncio.gather(*callers, watch)
        await asyncio.sleep(SETTLE_S)
        self.check_exits()
        for i in range(NODES):
            body = {"job_id": f"back-{i}", "tasks": [{"id": "t", "run_ms": 50, "deadline_ms": 3000, "idempotent": True}]}
            status, answer = await asyncio.to_thread(call, "POST", self.port("front", i), "/v1/jobs", body, 5)
            if answer.get("status") != "complete":
                self.findings.append(f"back: node{i} answers {status} {answer.get('why')}")
            _, state = await asyncio.to_thread(call, "GET", self.port("state", i), "/", None, 2)
            if not self.accepted_version <= (state.get("config_version") or -1) <= self.published_version:
                self.findings.append(f"config: node{i} has {state.get('config_version')}, "
                                     f"{self.accepted_version} was accepted")
        await self.wait_for_kept_jobs()
        await asyncio.sleep(1)
        clocks.cancel()
        self.check_runs()
        self.check_known_starts()
        self.check_bursts()


# Runs one seed, on the ports of the block port_block.  Returns the number of findings.
async def soak(seed, args, port_block):
    folder = f"{args.keep}/seed-{seed}" if args.keep else tempfile.mkdtemp(prefix="soak-")
    shutil.rmtree(folder, ignore_errors=True)
    os.makedirs(folder)
    fixture = Fixture(seed, args, folder, args.port + port_block * 100)
    try:
        await fixture.run()
    finally:
        for name in list(fixture.procs):
            fixture.kill(name)
        for p in fixture.proxies.values():
            if not p.server:
                continue
            p.server.close()
            p.reset()
    complete = sum(any(t == "complete" for _, t in j["answers"]) for j in fixture.jobs.values())
    bursts = f"{len(fixture.bursts)} in bursts, " if args.high_load else ""
    kept = sum(k["accepted"] for k in fixture.kept_jobs.values())
    completed = sum(k.get("state") == "completed" for k in fixture.kept_jobs.values())
    print(f"seed {seed}: {len(fixture.jobs)} jobs, {complete} complete, {bursts}{kept} kept, {completed} completed, "
          f"{len(fixture.findings)} findings", flush=True)
    for f in fixture.findings[:10]:
        print(f"  seed {seed}: {f}", flush=True)
    if not fixture.findings and not args.keep:
        shutil.rmtree(folder)
    return len(fixture.findings)


def free_block(n):
    """Returns the first of n ports that are free at the moment, above those of the tests and below the ephemeral ones."""
    for base in range(30100, 32700 - n, 300):
        try:
            for port in range(base, base + n):
                with socket.socket() as s:
                    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    s.bind(("127.0.0.1", port))
            return base
        except OSError:
            continue
    sys.exit("no free ports")


async def main():
    here = os.path.dirname(os.path.abspath(__file__))
    ap = argparse.ArgumentParser(description="randomized fault soak of real processes")
    ap.add_argument("--seed", type=int, help="first seed (default: drawn)")
    ap.add_argument("--seeds", type=int, default=1)
    ap.add_argument("--file", help="run the seeds at the starts of its lines")
    ap.add_argument("--seconds", type=float, default=15, help="seconds of faults per seed")
    ap.add_argument("--jobs", type=int, default=3, help="seeds run at a time")
    ap.add_argument("--bin", default=f"{here}/../build")
    ap.add_argument("--keep", help="folder for logs; the default, a temporary one, is kept on findings")
    ap.add_argument("--evacuations", action="store_true", help="evacuate data centres too")
    ap.add_argument("--high-load", action="store_true", help="bursts; odd seeds have the settings for high load")
    ap.add_argument("--port", type=int, help="first port; 100 a seed at a time (default: a free block)")
    args = ap.parse_args()
    if args.port is None:
        args.port = free_block(args.jobs * 100)
    seeds = []
    if args.file:
        seeds = [int(x.split()[0]) for x in open(args.file) if x[:1].isdigit()]
    first = args.seed if args.seed is not None else random.SystemRandom().randrange(10**6)
    port_blocks = asyncio.Queue()
    for block in range(args.jobs):
        port_blocks.put_nowait(block)

    # Runs one seed, once a block of ports is free.
    async def one(seed):
        port_block = await port_blocks.get()
        try:
            return await soak(seed, args, port_block)
        finally:
            port_blocks.put_nowait(port_block)
    found = await asyncio.gather(*(one(k) for k in seeds or range(first, first + args.seeds)))
    failed = sum(f > 0 for f in found)
    print(f"{len(found) - failed} passed, {failed} failed")
    return 1 if failed else 0

sys.exit(asyncio.run(main()))
