"""A small deployment on loopback addresses: the project's own instances as
processes, and stand-ins of the platform's store, of executors and of clients
that follow the users' pages (PROTOCOL.md).

The stand-ins run in the process of the case.  Times are milliseconds since the
start of the case.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
NODE = os.path.join(ROOT, "target", "masticmill-node")
HOST = "jobs.example"
SERVICE = "reservas"
PARTS = 16
RECORD_BYTES = 262144
CALL_BYTES = 2097152
MAX_HOLD_MS = 1000
STORE_ANSWER_S = 0.004
APPEND_S = 0.003
BEAT_S = 1.5

START = time.monotonic()


def now_ms():
    return int((time.monotonic() - START) * 1000)


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, what, *rest):
        text = " ".join(str(r) for r in rest)
        self.file.write("%7d %s %s\n" % (now_ms(), what, text))
        self.file.flush()


def free_ports(n):
    """Free ports below those that outgoing connections take."""
    ports = []
    for _ in range(1000):
        port = random.randrange(11000, 31000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
        if len(ports) == n:
            return ports
    raise CannotRun("no free ports")


# ---- HTTP ------------------------------------------------------------------


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        path, _, query = target.partition("?")
        self.path = path
        self.headers = headers
        self.body = body
        self.query = {}
        for pair in query.split("&"):
            if pair:
                k, _, v = pair.partition("=")
                self.query[k] = unquote(v)

    def json(self):
        return json.loads(self.body or b"{}")


def unquote(text):
    out = bytearray()
    i = 0
    raw = text.encode()
    while i < len(raw):
        if raw[i] == 0x25:
            out.append(int(raw[i + 1:i + 3], 16))
            i += 3
        else:
            out.append(raw[i])
            i += 1
    return out.decode()


async def read_head(reader):
    line = await reader.readline()
    if not line:
        return None, None
    headers = {}
    while True:
        h = await reader.readline()
        if h in (b"\r\n", b"\n", b""):
            break
        k, _, v = h.decode("latin-1").partition(":")
        headers[k.strip().lower()] = v.strip()
    return line.decode("latin-1").split(" ", 2), headers


class HttpServer:
    """Calls @handler(request), a coroutine that returns (status, body)."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        if self.server:
            self.server.close()
        for w in list(self.writers):
            w.transport.abort()
        self.server = None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                if not first:
                    break
                if headers.get("expect", "").lower() == "100-continue":
                    writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                status, out = await self.handler(
                    Request(first[0], first[1], headers, body))
                if isinstance(out, dict):
                    kind, out = "application/json", json.dumps(out).encode()
                else:
                    kind = "application/octet-stream"
                writer.write((
                    "HTTP/1.1 %d X\r\nContent-Type: %s\r\n"
                    "Content-Length: %d\r\n\r\n"
                    % (status, kind, len(out))).encode() + out)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(port, method, path, body=None, timeout_s=5.0, headers=None):
    """Sends one request on a new connection.  Returns (status, body); status
    0: no answer."""
    data = b"" if body is None else (
        body if isinstance(body, bytes) else json.dumps(body).encode())
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST,
             "Content-Type: application/json",
             "Content-Length: %d" % len(data), "Connection: close"]
    lines += ["%s: %s" % kv for kv in (headers or {}).items()]
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        await writer.drain()
        first, head = await read_head(reader)
        if not first:
            return 0, b""
        if "content-length" in head:
            out = await reader.readexactly(int(head["content-length"]))
        else:
            out = await reader.read()
        return int(first[1]), out

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (ConnectionError, OSError, asyncio.TimeoutError,
            asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer:
            writer.close()


# ---- the platform's store --------------------------------------------------


class Partition:
    def __init__(self):
        self.records = []  # (key or None, value), by offset
        self.newest = {}   # key -> (value, offset)
        self.producers = {}
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()


class Group:
    def __init__(self, topic, parts):
        self.topic = topic
        self.parts = parts
        self.generation = 0
        self.members = {}  # name -> [expires, ttl_s, generation confirmed]
        self.target = [None] * parts
        self.holder = [None] * parts
        self.revoked = [0] * parts  # generation at which it was last unlisted

    def listed(self, name):
        return [p for p in range(self.parts)
                if self.holder[p] == name and self.target[p] == name]

    def grant(self):
        """Gives partitions without a holder to those they are meant for."""
        changed = False
        for p in range(self.parts):
            if self.holder[p] is None and self.target[p] is not None:
                self.holder[p] = self.target[p]
                changed = True
        return changed

    def rebalance(self):
        self.generation += 1
        names = sorted(self.members)
        for p in range(self.parts):
            if self.holder[p] not in self.members:
                self.holder[p] = None
            if self.target[p] not in self.members:
                self.target[p] = None
        if not names:
            return
        low, extra = divmod(self.parts, len(names))
        count = {n: 0 for n in names}
        for p in range(self.parts):
            n = self.target[p]
            if n is None:
                continue
            room = low + 1 if extra > 0 else low
            if count[n] < low:
                count[n] += 1
            elif count[n] < room:
                count[n] += 1
                extra -= 1
            else:
                self.target[p] = None
        for p in range(self.parts):
            if self.target[p] is None:
                n = min(names, key=lambda m: count[m])
                self.target[p] = n
                count[n] += 1
            if self.holder[p] not in (None, self.target[p]):
                self.revoked[p] = self.generation
        self.grant()

    def expire(self):
        now = time.monotonic()
        gone = [n for n, m in self.members.items() if m[0] < now]
        for n in gone:
            del self.members[n]
        if gone:
            self.rebalance()

    def leave(self, name):
        self.expire()
        if self.members.pop(name, None):
            self.rebalance()

    def join(self, name, ttl_ms, generation):
        self.expire()
        new = name not in self.members
        self.members[name] = [time.monotonic() + ttl_ms / 1000.0, ttl_ms,
                              generation]
        if new:
            self.rebalance()
        freed = False
        for p in range(self.parts):
            if (self.holder[p] == name and self.target[p] != name
                    and generation >= self.revoked[p]):
                self.holder[p] = None
                freed = True
        if freed:
            self.generation += 1
            self.grant()
        return {"generation": self.generation,
                "parts": [[self.topic, p, 0] for p in self.listed(name)]}


class Store:
    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.groups = {}
        self.refused = set()  # (topic, partition) of appends that are too large
        self.server = HttpServer(self.handle)

    async def start(self):
        await self.server.start()
        self.port = self.server.port

    def part(self, topic, number):
        n = 1 if topic in ("keyed.op", "keyed.servers",
                           "keyed.status") else PARTS
        parts = self.topics.setdefault(
            topic, [Partition() for _ in range(n)])
        return parts[number]

    def put(self, topic, number, raw):
        """Appends one record, without its length."""
        p = self.part(topic, number)
        p.records.append(raw)
        if topic.startswith("keyed."):
            n = raw[0]
            key, value = raw[1:1 + n].decode(), raw[1 + n:]
            if value:
                p.newest[key] = (value, len(p.records) - 1)
            else:
                p.newest.pop(key, None)
        p.changed.set()
        p.changed = asyncio.Event()

    def write(self, topic, key, value):
        """Writes a record of the operator or of an executor."""
        data = b"" if value is None else (
            value if isinstance(value, bytes) else json.dumps(value).encode())
        self.put(topic, 0, bytes([len(key)]) + key.encode() + data)

    async def handle(self, req):
        if req.path == "/log-read":
            return await self.read(req)
        await asyncio.sleep(STORE_ANSWER_S)
        if req.path == "/log-append":
            return await self.append(req)
        if req.path == "/log-newest":
            return self.read_newest(req)
        if req.path in ("/log-join", "/log-leave"):
            return self.member(req)
        if req.path == "/log-owners":
            g = self.groups.get(req.query["group"])
            if not g:
                return 200, {"owners": []}
            g.expire()
            return 200, {"owners": [[g.topic, p, g.holder[p], 0]
                                    for p in range(g.parts) if g.holder[p]]}
        if req.path == "/log-trim":
            return 200, {}
        return 404, {}

    def member(self, req):
        b = req.json()
        name = b["group"]
        if req.path == "/log-leave":
            if name in self.groups:
                self.groups[name].leave(b["member"])
            return 200, {}
        g = self.groups.setdefault(name, Group(b["topics"][0], PARTS))
        return 200, g.join(b["member"], b["ttlMs"], b.get("generation", 0))

    async def append(self, req):
        topic, number = req.query["topic"], int(req.query["part"])
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        p = self.part(topic, number)
        raws, pos = [], 0
        while pos + 4 <= len(req.body):
            n = struct.unpack(">I", req.body[pos:pos + 4])[0]
            raws.append(req.body[pos + 4:pos + 4 + n])
            pos += 4 + n
        if (len(req.body) > CALL_BYTES
                or any(len(r) > RECORD_BYTES for r in raws)):
            self.record("store", "append", topic, number, "refused:",
                        "a record over recordBytes,",
                        max(len(r) for r in raws), "bytes")
            self.refused.add((topic, number))
            return 413, {"reason": "size"}
        async with p.lock:
            await asyncio.sleep(APPEND_S)
            if "producer" not in req.query:
                first = len(p.records)
                for r in raws:
                    self.put(topic, number, r)
                return 200, {"offset": first, "end": len(p.records)}
            epoch, seq = int(req.query["epoch"]), int(req.query["seq"])
            state = p.producers.setdefault(
                req.query["producer"], {"epoch": -1, "last": None, "old": {}})
            if epoch < state["epoch"]:
                return 409, {"reason": "fenced"}
            if epoch > state["epoch"]:
                state.update(epoch=epoch, last=None, old={})
            if not raws:
                return 200, {"offset": len(p.records), "end": len(p.records)}
            if seq in state["old"]:
                return 200, state["old"][seq]
            if state["last"] is not None and seq != state["last"] + 1:
                return 409, {"reason": "seq", "expected": state["last"] + 1}
            first = len(p.records)
            for r in raws:
                self.put(topic, number, r)
            answer = {"offset": first, "end": len(p.records)}
            state["last"] = seq
            state["old"][seq] = answer
            for s in sorted(state["old"])[:-5]:
                del state["old"][s]
            return 200, answer

    async def read(self, req):
        p = self.part(req.query["topic"], int(req.query["part"]))
        start = int(req.query["from"])
        until = time.monotonic() + int(req.query.get("waitMs", 0)) / 1000.0
        while start >= len(p.records):
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(p.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        await asyncio.sleep(STORE_ANSWER_S)
        out = bytearray(struct.pack(">QQ", len(p.records), 0))
        limit = int(req.query.get("maxKb", 1024)) * 1024
        for r in p.records[start:]:
            if len(out) > 16 and len(out) + 4 + len(r) > limit:
                break
            out += struct.pack(">I", len(r)) + r
        return 200, bytes(out)

    def read_newest(self, req):
        p = self.part(req.query["topic"], int(req.query["part"]))
        after = req.query.get("after")
        keys = sorted(k for k in p.newest if after is None or k > after)
        items, size = [], 0
        for k in keys:
            value, offset = p.newest[k]
            if len(items) == 500 or (items and size + len(value) > 1 << 20):
                break
            size += len(value)
            items.append({"key": k, "offset": offset,
                          "value": base64.b64encode(value).decode()})
        return 200, {"items": items, "hasMore": len(items) < len(keys),
                     "end": len(p.records)}


# ---- executors -------------------------------------------------------------


def spec_field(spec, name, default):
    for word in spec.split():
        k, _, v = word.partition("=")
        if k == name:
            return v
    return default


class Run:
    def __init__(self, task, run, spec, began):
        self.task = task
        self.run = run
        self.spec = spec
        self.began = began
        self.ends = None  # timer
        self.lasts = max(int(spec_field(spec, "ms", "100")), 1)

    def percent(self):
        return min(100 * (now_ms() - self.began) // self.lasts, 99)


class Executor:
    """A task's spec says how long it runs: ms=N; with fail=1 it then ends as
    failed.  With advised=1 its queue has advice: a start without a ticket is
    rejected.  @fails: all tasks end as failed."""

    def __init__(self, cluster, number, zone, cpu=32000, labels=("a", "r1"),
                 fails=False):
        self.cluster = cluster
        self.id = "x-%04d" % number
        self.zone = zone
        self.cpu = cpu
        self.labels = list(labels)
        self.fails = fails
        self.server = HttpServer(self.handle)
        self.port = 0
        self.beat = None
        self.reset()

    def reset(self):
        self.born = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self.seq = 0
        self.fence = 0
        self.runs = {}
        self.last_ended = {}
        self.finished = []
        self.next_end = 1
        self.deadline = 0
        self.lapse = None
        self.waiting = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.born) * 1000) + 1000

    def entry(self):
        return {"service": SERVICE, "addr": "127.0.0.1:%d" % self.port,
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": "ready", "coldLeftMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": 131072, "gpu": 0},
                "labels": self.labels, "clockMs": self.clock(),
                "seq": self.seq, "born": self.born_ms}

    async def start(self):
        await self.server.start(self.port)
        self.port = self.server.port
        self.beat = asyncio.ensure_future(self.beats())

    async def beats(self):
        while True:
            self.seq += 1
            self.cluster.store.write("keyed.servers", self.id, self.entry())
            await asyncio.sleep(BEAT_S)

    def stop_server(self):
        self.server.close()
        if self.beat:
            self.beat.cancel()

    async def restart(self, down_s):
        """Crashes, and starts again under its id: it then knows nothing of
        before, and its counts start anew."""
        self.crash()
        await asyncio.sleep(down_s)
        self.reset()
        await self.start()
        self.log("starts again")

    async def replace(self, down_s):
        """Crashes; another incarnation, with a new id, starts at its address.
        The entry of the old one is removed after three heartbeats."""
        self.crash()
        old = self.id
        asyncio.get_event_loop().call_later(
            3 * BEAT_S, self.cluster.store.write, "keyed.servers", old, None)
        await asyncio.sleep(down_s)
        self.id = old.split("-life")[0] + "-life%d" % now_ms()
        self.reset()
        await self.start()
        self.log("starts in place of", old)

    def crash(self):
        self.log("crashes, running:", *self.runs)
        for r in self.runs.values():
            r.ends.cancel()
            self.cluster.crashed(self, r)
        self.runs = {}
        if self.lapse:
            self.lapse.cancel()
        self.stop_server()

    def log(self, what, *rest):
        self.cluster.record("executor", self.id, what, *rest)

    def end(self, r, how):
        if self.runs.get(r.task) is not r:
            return
        del self.runs[r.task]
        if r.ends:
            r.ends.cancel()
        self.last_ended[r.task] = max(self.last_ended.get(r.task, 0), r.run)
        self.finished.append([self.next_end, r.task, r.run, how, ""])
        self.cluster.ended(self, r, how, self.next_end)
        self.next_end += 1
        self.waiting.set()
        self.waiting = asyncio.Event()

    def extend(self, deadline):
        """A lease lasts MAX_HOLD_MS at most, and never shortens."""
        if not deadline:
            return
        self.deadline = max(self.deadline,
                            min(deadline, self.clock() + MAX_HOLD_MS))
        if self.lapse:
            self.lapse.cancel()
        left = max(self.deadline - self.clock(), 0) / 1000.0
        self.lapse = asyncio.get_event_loop().call_later(left, self.on_lapse)

    def on_lapse(self):
        if self.clock() < self.deadline:
            self.extend(self.deadline)
            return
        for r in list(self.runs.values()):
            self.end(r, "lapsed")

    async def handle(self, req):
        if req.method == "GET":
            return 200, {"clockMs": self.clock()}
        if req.headers.get("x-masticmill-target-instance",
                           self.id) != self.id:
            return 421, {"clockMs": self.clock()}
        b = req.json()
        fence = b.get("fencingToken", 0)
        if fence < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = fence
        if req.path == "/run-start":
            return self.run_start(b)
        if req.path == "/run-stop":
            return self.run_stop(b)
        if req.path == "/hold":
            return await self.hold(b)
        return 400, {"clockMs": self.clock()}

    def refuse(self, b, why):
        self.log("refuses", b["task"], "run", b["run"], why)
        return 409, {"clockMs": self.clock(), "reason": why}

    def run_start(self, b):
        task, run = b["task"], b["run"]
        there = self.runs.get(task)
        if there and there.run == run:
            return 200, {"clockMs": self.clock()}
        if b.get("deadlineMs", 0) < self.clock():
            return self.refuse(b, "late")
        self.extend(b.get("deadlineMs"))
        if there or run <= self.last_ended.get(task, 0):
            return self.refuse(b, "old")
        if spec_field(b["spec"], "advised", "0") == "1" and "ticket" not in b:
            return self.refuse(b, "ticket")
        r = Run(task, run, b["spec"], now_ms())
        self.runs[task] = r
        self.cluster.began(self, r)
        fails = self.fails or spec_field(r.spec, "fail", "0") == "1"
        r.ends = asyncio.get_event_loop().call_later(
            r.lasts / 1000.0, self.end, r, "failed" if fails else "done")
        return 200, {"clockMs": self.clock()}

    def run_stop(self, b):
        r = self.runs.get(b["task"])
        if r and r.run == b["run"]:
            self.end(r, "stopped")
        self.last_ended[b["task"]] = max(self.last_ended.get(b["task"], 0),
                                         b["run"])
        return 200, {"clockMs": self.clock()}

    async def hold(self, b):
        self.extend(b.get("deadlineMs"))
        upto = b.get("ackedUpto", 0)
        for f in self.finished:
            if f[0] <= upto:
                self.cluster.acked(self, f)
        self.finished = [f for f in self.finished if f[0] > upto]
        wait = min(b.get("waitMs", 0), 2000) / 1000.0
        if wait and not self.finished:
            try:
                await asyncio.wait_for(self.waiting.wait(), wait)
            except asyncio.TimeoutError:
                pass
        return 200, {
            "clockMs": self.clock(),
            "running": [[r.task, r.run, "", r.percent(), 1000]
                        for r in self.runs.values()],
            "finished": self.finished[:500], "born": self.born_ms}


# ---- instances -------------------------------------------------------------


class Instance:
    def __init__(self, cluster, number, zone):
        self.cluster = cluster
        self.name = "edge-%s-%d" % (zone, number)
        self.zone = zone
        self.front, self.ready, self.mesh, self.state = free_ports(4)
        self.process = None
        self.out = None

    def settings(self):
        """deploy/node.toml.in, filled in."""
        return """[node]
name = "%s"
address = "127.0.0.1"
datacentre = "%s"
datacentres = [%s]
front = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
interface = "platform"
mesh_port = %d
state_port = %d
grace_ms = 6000
link_mbps = 1000.0

[limits]
body_kb = 512

[store]
address = "127.0.0.1:%d"
partitions = %d
""" % (self.name, self.zone,
            ",".join('"%s"' % z for z in self.cluster.zones),
            self.front, self.ready, self.mesh, self.state,
            self.cluster.store.port, PARTS)

    async def start(self):
        path = os.path.join(self.cluster.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as f:
            f.write(self.settings())
        self.out = open(os.path.join(self.cluster.folder,
                                     self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            NODE, "--config", path, stdout=self.out, stderr=self.out,
            cwd=ROOT)
        self.cluster.record("instance", self.name, "started")

    async def end(self, sig):
        if not self.process or self.process.returncode is not None:
            return
        self.cluster.record("instance", self.name, signal.Signals(sig).name)
        self.process.send_signal(sig)
        try:
            await asyncio.wait_for(self.process.wait(), 6)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.out.close()

    async def is_ready(self):
        status, _ = await call(self.ready, "GET", "/ready", timeout_s=0.5)
        return status == 200


class Cluster:
    def __init__(self, folder, zones=("miraflores", "centro", "barranco"),
                 executors=6):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = os.environ.get("LOGS") or self.temporary.name
        self.zones = zones
        self.store = Store(self.record)
        self.instances = [Instance(self, i, z)
                          for i, z in enumerate(zones, 1)]
        self.executors = [Executor(self, i, zones[i % len(zones)])
                          for i in range(executors)]
        self.starts = []  # (ms, task, executor, run)
        self.ends = []    # (ms, task, executor, run, how, number of the end)
        self.acks = []    # (ms, task, executor, run, how, number of the end)
        self.crashes = []  # (ms, task, executor, run): it crashed under it
        self.routes = [self.route("r-1", "/jobs/")]

    def route(self, name, prefix, **more):
        r = {"name": name, "host": HOST, "pathPrefix": prefix,
             "kind": "non_idempotent", "timeoutMs": 1500, "sloMs": 60000,
             "priority": 0, "service": SERVICE, "attempts": 4, "stretch": 1.6}
        r.update(more)
        return r

    def began(self, x, r):
        self.starts.append((now_ms(), r.task, x.id, r.run))
        self.record("executor", x.id, "starts", r.task, "run", r.run)

    def ended(self, x, r, how, n):
        self.ends.append((now_ms(), r.task, x.id, r.run, how, n))
        self.record("executor", x.id, "ends", r.task, "run", r.run, how)

    def crashed(self, x, r):
        self.crashes.append((now_ms(), r.task, x.id, r.run))

    def acked(self, x, row):
        self.acks.append((now_ms(), row[1], x.id, row[2], row[3], row[0]))
        self.record("executor", x.id, "end", row[0], "taken note of:", row[1],
                    "run", row[2], row[3])

    def configure(self, version):
        self.store.write("keyed.op", "config", {
            "version": version, "routes": self.routes,
            "services": [{"name": SERVICE, "healthPath": "/health",
                          "maxConns": 64, "protocol": "h1", "tls": False,
                          "enforceCapacity": False, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
        self.record("operator", "configuration", version)

    async def start(self):
        if not os.path.exists(NODE):
            raise CannotRun("target/masticmill-node is not built")
        await self.store.start()
        self.configure(1)
        for x in self.executors:
            await x.start()
        for i in self.instances:
            await i.start()
        for _ in range(100):
            if all([await i.is_ready() for i in self.instances]):
                break
            await asyncio.sleep(0.1)
        else:
            for i in self.instances:
                with open(os.path.join(self.folder, i.name + ".log"),
                          encoding="utf-8", errors="replace") as f:
                    self.record("instance", i.name, "exit",
                                i.process.returncode, f.read()[-2000:])
            raise CannotRun("the instances are not ready after 10 s")
        await asyncio.sleep(4)
        self.record("cluster", "ready")

    async def stop(self):
        await asyncio.gather(*(i.end(signal.SIGKILL)
                               for i in self.instances))
        for x in self.executors:
            x.stop_server()
        self.store.server.close()

    async def client(self, method, path, body=None, at=0, timeout_s=5.0,
                     headers=None):
        """One request of a client to instance number @at."""
        shown = "" if body is None else "%d bytes" % (
            len(body) if isinstance(body, bytes) else len(json.dumps(body)))
        self.record("client", method, path, shown, "at",
                    self.instances[at].name)
        status, out = await call(self.instances[at].front, method, path, body,
                                 timeout_s, headers)
        self.record("client", method, path, "->", status,
                    out[:80].decode("latin-1"))
        return status, out

    async def submit(self, path, job, tries=8, at=0):
        """Hands a job in as the pages say: again after no answer, 502 or 504,
        and after a refusal.  Returns whether it was accepted."""
        for n in range(tries):
            status, _ = await self.client("POST", path, job,
                                          at=(at + n) % len(self.instances))
            if 200 <= status < 300:
                return True
            await asyncio.sleep(1.3)
        return False

    async def state(self, path, tries=6, at=0):
        """The state of a job: its text, "gone" for 410, None without one."""
        for n in range(tries):
            k = (at + n) % len(self.instances)
            status, out = await self.client("GET", path, at=k)
            if status == 200:
                return json.loads(out)["state"]
            if status == 410:
                return "gone"
            await asyncio.sleep(0.5)
        return None

    def running(self, job_id):
        return [t for x in self.executors for t in x.runs
                if t.startswith(job_id + ".")]

    def starts_of(self, job_id):
        return [s for s in self.starts if s[1].startswith(job_id + ".")]


def main(case, folder, executors=6):
    """Runs @case(cluster, trouble), a coroutine that returns None if the rule
    held, else what broke it.  Exits with 0, 1, or 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        cluster = Cluster(folder, executors=executors)
        try:
            broken = await asyncio.wait_for(case(cluster, trouble), 110)
        finally:
            await cluster.stop()
        cluster.record("verdict", broken or "the rule held")
        return broken

    try:
        broken = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, OSError) as e:
        print("could not run: %r" % e)
        sys.exit(2)
    print("BROKEN: " + broken if broken else "held")
    sys.exit(1 if broken else 0)
