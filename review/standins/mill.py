"""Stand-ins for the scripts of the review: the platform's store, executors and
clients, as the pages describe them, in one asyncio process.  The instances of
masticmill are separate processes, started with the command of the deploy file.

All addresses are loopback addresses.  Nothing outlives main().
"""
import asyncio, base64, json, os, random, shutil, signal, socket, subprocess, sys, tempfile, time, urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PARTS = 16              # partitions of a topic, as in the settings of a small deployment
APPEND_MS = 3.0         # an append takes this long
ANSWER_MS = 4.0         # and an answer of the store this long
HEARTBEAT_MS = 1500
MAX_HOLD_MS = 1000
STOP_MS = 20            # stopTimeoutMs is 50
T0 = time.monotonic()


def now_ms():
    return (time.monotonic() - T0) * 1000


class Record:
    """record.txt: one line for each thing sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")

    def line(self, *words):
        self.file.write("%9.1f  %s\n" % (now_ms(), "  ".join(str(w) for w in words)))

    def close(self):
        self.file.close()


# ---- HTTP -------------------------------------------------------------------

class Drop(Exception):
    """The connection ends without an answer."""


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            k, v = line.split(":", 1)
            headers[k.strip().lower()] = v.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


async def serve(handler, host, port=0):
    """Serves HTTP/1.1.  handler(method, path, query, headers, body) returns
    (status, bytes).  Returns the server and its port."""

    async def on_connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_request(reader)
                method, target, _ = first.split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                status, answer = await handler(method, url.path, query, headers, body)
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(answer)) + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, Drop,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, host, port, limit=8 << 20)
    return server, server.sockets[0].getsockname()[1]


async def exchange(addr, head, data):
    """Sends one request on a connection of its own.  Returns the status line and the body."""
    ip, port = addr.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port), limit=8 << 20)
    try:
        writer.write(head.encode() + data)
        first, headers, answer = await read_request(reader)
        return first, answer
    finally:
        writer.close()


async def call(addr, method, path, host, body=None, timeout_s=5.0):
    """Calls an instance.  Returns (status, object), and (None, reason) without an answer."""
    data = b"" if body is None else json.dumps(body).encode()
    head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(data)}\r\n"
            f"X-Masticmill-Deadline-Ms: {int(timeout_s * 1000)}\r\nContent-Type: application/json\r\n\r\n")
    try:
        first, answer = await asyncio.wait_for(exchange(addr, head, data), timeout_s)
    except (TimeoutError, asyncio.TimeoutError):
        return None, "no answer in time"
    except (OSError, asyncio.IncompleteReadError) as e:
        return None, "connection ended: " + type(e).__name__
    try:
        parsed = json.loads(answer) if answer else {}
    except ValueError:
        parsed = {}
    return int(first.split(" ")[1]), parsed


# ---- the platform's store ---------------------------------------------------

class Partition:
    def __init__(self):
        self.records = []       # raw records; offset i is records[i]
        self.newest = {}        # keyed topics: key -> (value, offset)
        self.writers = {}       # producer -> [epoch, last seq or None, {seq: response}]
        self.lock = asyncio.Lock()
        self.grown = asyncio.Event()

    def add(self, raw, keyed):
        offset = len(self.records)
        self.records.append(raw)
        if keyed:
            n = raw[0]
            key, value = raw[1:1 + n], raw[1 + n:]
            if value:
                self.newest[key] = (value, offset)
            else:
                self.newest.pop(key, None)
        self.grown.set()
        self.grown = asyncio.Event()
        return offset


class Group:
    """Partitions are distributed evenly and stay where they are if possible.
    One that is taken from a living member is assigned anew once that member
    joins with the generation that took it, or a later one."""

    def __init__(self):
        self.generation = 0
        self.members = {}                  # name -> [time of expiry, generation confirmed]
        self.holder = [None] * PARTS       # who may still act for the partition
        self.target = [None] * PARTS       # who is to have it
        self.taken_at = [0] * PARTS        # generation that took it from the holder

    def expire(self):
        gone = [m for m, s in self.members.items() if s[0] < now_ms()]
        for m in gone:
            self.remove(m)

    def remove(self, member):
        if self.members.pop(member, None) is not None:
            for i in range(PARTS):
                if self.holder[i] == member:
                    self.holder[i] = None
            self.deal()

    def deal(self):
        names = sorted(self.members)
        self.generation += 1
        quota = {m: PARTS // len(names) + (k < PARTS % len(names)) for k, m in enumerate(names)} if names else {}
        count = {m: 0 for m in names}
        for i in range(PARTS):
            t = self.target[i]
            if t in count and count[t] < quota[t]:
                count[t] += 1
            else:
                self.target[i] = None
        for i in range(PARTS):
            if self.target[i] is None and names:
                t = min((m for m in names if count[m] < quota[m]), key=lambda m: count[m])
                self.target[i] = t
                count[t] += 1
            if self.holder[i] and self.holder[i] != self.target[i]:
                self.taken_at[i] = self.generation
        self.settle()

    def settle(self):
        """Hands over what its holder has given up; each time is a generation."""
        changed = False
        for i in range(PARTS):
            h = self.holder[i]
            if h and h != self.target[i] and self.members[h][1] >= self.taken_at[i]:
                self.holder[i] = h = None
            if h is None and self.target[i]:
                self.holder[i] = self.target[i]
                changed = True
        self.generation += changed

    def join(self, member, ttl_ms, generation):
        self.expire()
        new = member not in self.members
        self.members[member] = [now_ms() + ttl_ms, generation]
        if new:
            self.deal()
        else:
            self.settle()
        return [i for i in range(PARTS) if self.holder[i] == member and self.target[i] == member]


class Store:
    def __init__(self, record):
        self.record = record
        self.partitions = {}
        self.groups = {}
        self.slow = 1.0            # answers and appends take so many times as long
        self.busy = set()          # instances that are answered 503; "*": all
        self.silent = set()        # instances that get no answer
        self.on_append = None      # called with (instance, part, key, value, committed)
        self.record_bytes = 262144

    def partition(self, topic, part):
        return self.partitions.setdefault((topic, part), Partition())

    def put(self, topic, key, value):
        """A record of the operator or of an executor."""
        k = key.encode()
        self.partition(topic, 0).add(bytes([len(k)]) + k + (json.dumps(value).encode() if value is not None else b""),
                                     True)

    async def listen(self, instance):
        """Each instance has an address of its own, so that faults can be told apart."""

        async def handler(method, path, query, headers, body):
            return await self.handle(instance, method, path, query, body)

        return await serve(handler, "127.0.0.1")

    def refused(self, instance):
        return "*" in self.busy or instance in self.busy

    def mute(self, instance):
        return "*" in self.silent or instance in self.silent

    async def handle(self, instance, method, path, query, body):
        if self.mute(instance):
            await asyncio.sleep(30)
            raise Drop
        if self.refused(instance):
            return 503, b"{}"
        name = method + " " + path
        if name == "POST /log-append":
            status, answer = await self.append(instance, query, body)
        elif name == "GET /log-read":
            return await self.read(query)
        else:
            await asyncio.sleep(ANSWER_MS * self.slow / 1000)
            if name == "GET /log-newest":
                status, answer = self.newest(query)
            elif name == "POST /log-join":
                status, answer = self.join(json.loads(body))
            elif name == "POST /log-leave":
                o = json.loads(body)
                self.groups.setdefault(o["group"], Group()).remove(o["member"])
                status, answer = 200, {}
            elif name == "GET /log-owners":
                g = self.groups.setdefault(query["group"], Group())
                g.expire()
                status, answer = 200, {"rows": [[query["group"], i, m, 0] for i, m in enumerate(g.holder) if m]}
            else:
                status, answer = 404, {}
        if self.mute(instance):
            raise Drop
        return status, json.dumps(answer).encode()

    def join(self, o):
        g = self.groups.setdefault(o["group"], Group())
        parts = g.join(o["member"], o["ttlMs"], o["generation"])
        return 200, {"generation": g.generation, "ttlMs": o["ttlMs"], "parts": [[o["topics"][0], i, 0] for i in parts]}

    def newest(self, query):
        p = self.partition(query["topic"], int(query["part"]))
        after = query.get("after", "").encode()
        keys = sorted(k for k in p.newest if not after or k > after)
        items, size = [], 0
        for k in keys:
            value, offset = p.newest[k]
            size += len(value) * 4 // 3
            if items and (len(items) >= 500 or size > 1 << 20):
                break
            items.append({"key": k.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "hasMore": len(items) < len(keys), "end": len(p.records)}

    async def read(self, query):
        p = self.partition(query["topic"], int(query["part"]))
        start, wait = int(query["from"]), int(query.get("waitMs", 0)) / 1000
        room = int(query.get("maxKb", 1024)) * 1024
        if start >= len(p.records) and wait:
            try:
                await asyncio.wait_for(p.grown.wait(), wait)
            except (TimeoutError, asyncio.TimeoutError):
                pass
        await asyncio.sleep(ANSWER_MS * self.slow / 1000)
        out = [len(p.records).to_bytes(8, "big"), (0).to_bytes(8, "big")]
        size = 0
        for raw in p.records[start:]:
            if size and size + 4 + len(raw) > room:
                break
            size += 4 + len(raw)
            out += [len(raw).to_bytes(4, "big"), raw]
        return 200, b"".join(out)

    @staticmethod
    def split(body):
        records, pos = [], 0
        while pos + 4 <= len(body):
            n = int.from_bytes(body[pos:pos + 4], "big")
            records.append(body[pos + 4:pos + 4 + n])
            pos += 4 + n
        return records

    async def append(self, instance, query, body):
        """The append is in force when it is answered, not before."""
        topic, part = query["topic"], int(query["part"])
        p = self.partition(topic, part)
        records = self.split(body)
        async with p.lock:
            await asyncio.sleep(APPEND_MS * self.slow / 1000)
            status, answer = self.commit(p, topic, query, records)
        if status == 200:
            for raw in records:
                key, value = raw[1:1 + raw[0]].decode(), raw[1 + raw[0]:]
                self.record.line("store", instance, f"part {part}", "record of", key,
                                 f"{len(value)} bytes" if value else "DROPPED (no value)")
                if self.on_append:
                    self.on_append(instance, part, key, value)
        elif records:
            self.record.line("store", instance, f"part {part}", "append answered", status, json.dumps(answer))
        await asyncio.sleep(max(ANSWER_MS - APPEND_MS, 0) * self.slow / 1000)
        return status, answer

    def commit(self, p, topic, query, records):
        if any(len(r) > self.record_bytes for r in records):
            return 400, {}
        writer = None
        if "producer" in query:
            epoch, seq = int(query["epoch"]), int(query["seq"])
            writer = p.writers.setdefault(query["producer"], [0, None, {}])
            if epoch < writer[0]:
                return 409, {"reason": "fenced"}
            if epoch > writer[0]:
                writer[:] = [epoch, None, {}]
            if records and seq in writer[2]:
                return 200, writer[2][seq]
            if records and writer[1] is not None and seq != writer[1] + 1:
                return 409, {"reason": "seq", "expected": writer[1] + 1}
        first = len(p.records)
        for raw in records:
            p.add(raw, topic.startswith("keyed."))
        answer = {"offset": first, "end": len(p.records)}
        if writer and records:
            writer[1] = seq
            writer[2][seq] = answer
            for old in sorted(writer[2])[:-5]:
                del writer[2][old]
        return 200, answer


# ---- executors --------------------------------------------------------------

class Run:
    def __init__(self, task, run, work_ms):
        self.task, self.run, self.work_ms, self.start = task, run, work_ms, now_ms()
        self.handle = None


class Executor:
    """One life of an executor.  A task works for the milliseconds that its
    spec names: "work=N"."""

    def __init__(self, world, number, cpu):
        self.world, self.number, self.cpu = world, number, cpu
        self.zone = world.zones[number % len(world.zones)]
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = now_ms()
        self.fence = 0
        self.lease = None           # on this executor's clock
        self.running = {}           # task -> Run
        self.ended_run = {}         # task -> highest run stopped or ended here
        self.finished = []          # [N, task, run, how, saved]
        self.n_ends = 0
        self.acked = 0
        self.change = asyncio.Event()
        self.up = True

    def clock(self):
        return int(now_ms() - self.born)

    async def start(self):
        self.server, self.port = await serve(self.handle, "127.0.0.1")
        self.addr = f"127.0.0.1:{self.port}"
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.lapse())]

    async def beat(self):
        seq = 0
        while self.up:
            seq += 1
            self.world.store.put("keyed.servers", self.id, {
                "service": "svc", "addr": self.addr, "zone": self.zone, "version": "v1", "slots": 8,
                "state": "ready", "coldLeftMs": 0, "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0},
                "labels": ["in-" + self.zone, f"r1-{self.number % self.world.racks}"], "clockMs": self.clock(), "seq": seq})
            await asyncio.sleep(HEARTBEAT_MS / 1000 * random.uniform(0.9, 1.0))

    async def lapse(self):
        while self.up:
            await asyncio.sleep(0.01)
            if self.running and self.lease is not None and self.clock() > self.lease:
                for r in list(self.running.values()):
                    self.end(r, "lapsed")

    def end(self, r, how):
        if self.running.get(r.task) is not r:
            return
        del self.running[r.task]
        if r.handle:
            r.handle.cancel()
        self.ended_run[r.task] = max(self.ended_run.get(r.task, 0), r.run)
        self.n_ends += 1
        self.finished.append([self.n_ends, r.task, r.run, how, ""])
        self.world.ended(self, r, how)
        self.change.set()
        self.change = asyncio.Event()

    def take_deadline(self, o):
        if "deadlineMs" in o:
            self.lease = max(self.lease or 0, min(o["deadlineMs"], self.clock() + MAX_HOLD_MS))

    async def handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, b""
        if headers.get("x-masticmill-target-instance", self.id) != self.id:
            return 421, b"{}"
        o = json.loads(body)
        if o.get("fencingToken", 0) < self.fence:
            return 409, json.dumps({"clockMs": self.clock(), "reason": "fence"}).encode()
        self.fence = o.get("fencingToken", 0)
        await asyncio.sleep(0.0005)
        if path == "/run-start":
            status, answer = self.run_start(o)
        elif path == "/run-stop":
            status, answer = self.run_stop(o)
        elif path == "/hold":
            status, answer = await self.hold(o)
        else:
            return 404, b"{}"
        answer["clockMs"] = self.clock()
        return status, json.dumps(answer).encode()

    def run_start(self, o):
        task, run = o["task"], o["run"]
        here = self.running.get(task)
        if here and here.run == run:
            return 200, {}
        if here or run <= self.ended_run.get(task, 0):
            self.take_deadline(o)
            return 409, {"reason": "old"}
        if o.get("deadlineMs", 0) <= self.clock():
            return 409, {"reason": "late"}
        self.take_deadline(o)
        work = int(o["spec"].split("work=")[1].split(";")[0])
        r = self.running[task] = Run(task, run, work)
        self.world.started(self, r, o["spec"])
        r.handle = asyncio.get_running_loop().call_later(work / 1000, self.end, r, "done")
        return 200, {}

    def run_stop(self, o):
        task, run = o["task"], o["run"]
        r = self.running.get(task)
        self.ended_run[task] = max(self.ended_run.get(task, 0), run)
        if r and r.run <= run:
            asyncio.get_running_loop().call_later(STOP_MS / 1000, self.end, r, "stopped")
        return 200, {}

    async def hold(self, o):
        self.take_deadline(o)
        if o.get("ackedUpto", 0) > self.acked:
            self.acked = o["ackedUpto"]
            self.finished = [e for e in self.finished if e[0] > self.acked]
        if not self.finished and o.get("waitMs"):
            try:
                await asyncio.wait_for(self.change.wait(), o["waitMs"] / 1000)
            except (TimeoutError, asyncio.TimeoutError):
                pass
        return 200, {"running": [[r.task, r.run, "", min(99, int(100 * (now_ms() - r.start) / max(r.work_ms, 1)))]
                                 for r in self.running.values()], "finished": self.finished[:500]}


# ---- instances and the whole deployment -------------------------------------

def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class World:
    HOST, PREFIX = "jobs.example", "/kept/"

    def __init__(self, folder, nodes=3, executors=6, cpu=64000, zones=("z1",), racks=None):
        """Instance i is in zones[i % len(zones)]; executors are spread evenly
        over the zones and over the racks, each of one zone."""
        self.record = Record(os.path.join(folder, "record.txt"))
        self.store = Store(self.record)
        self.node_zones = zones
        self.zones = sorted(set(zones))
        self.racks = racks or executors
        self.n_nodes, self.n_executors, self.cpu = nodes, executors, cpu
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.nodes = {}          # name -> Popen
        self.front = {}          # name -> ip:port
        self.config = {}
        self.runs = []           # dicts: task, run, executor, start, end, how
        self.servers = []

    def started(self, executor, r, spec):
        r.row = {"task": r.task, "run": r.run, "executor": executor.id, "start": now_ms(), "end": None, "how": None,
                 "spec": spec}
        self.runs.append(r.row)
        self.record.line("run", executor.id, r.task, f"run {r.run}", "started")

    def ended(self, executor, r, how):
        r.row["end"], r.row["how"] = now_ms(), how
        self.record.line("run", executor.id, r.task, f"run {r.run}", how)

    def runs_of(self, job):
        return [r for r in self.runs if r["task"].split(".")[0] == job]

    async def start(self, attempts=4):
        self.store.put("keyed.op", "config", {
            "version": 7, "limits": {},
            "routes": [{"name": "r-kept", "host": self.HOST, "pathPrefix": self.PREFIX, "kind": "non_idempotent",
                        "timeoutMs": 10000, "sloMs": 2000, "priority": 0, "service": "svc", "attempts": attempts,
                        "stretch": 3.0}],
            "services": [{"name": "svc", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
                          "enforceCapacity": False, "standby": False}]})
        self.executors = [Executor(self, i, self.cpu) for i in range(self.n_executors)]
        for e in self.executors:
            await e.start()
        for i in range(self.n_nodes):
            await self.add_node(f"n{i + 1}", f"127.0.0.{i + 11}")
        await self.wait_ready()

    async def add_node(self, name, ip):
        server, port = await self.store.listen(name)
        self.servers.append(server)
        front, ready, mesh, state = (free_port(ip) for _ in range(4))
        zone = self.node_zones[len(self.nodes) % len(self.node_zones)]
        path = os.path.join(self.tmp, name + ".toml")
        # The fields of deploy/node.toml.in.
        with open(path, "w") as f:
            f.write(f'[node]\nname = "{name}"\naddress = "{ip}"\ndatacentre = "{zone}"\n'
                    f'datacentres = {json.dumps(self.zones)}\nfront = "{ip}:{front}"\nready = "{ip}:{ready}"\n'
                    f'interface = "platform"\nmesh_port = {mesh}\nstate_port = {state}\ngrace_ms = 6000\n'
                    f'link_mbps = 1000.0\n\n[store]\naddress = "127.0.0.1:{port}"\npartitions = {PARTS}\n')
        self.front[name] = f"{ip}:{front}"
        self.config[name] = (path, f"{ip}:{ready}")
        self.spawn(name)

    def spawn(self, name):
        path = self.config[name][0]
        log = open(os.path.join(self.tmp, name + ".log"), "ab")
        self.nodes[name] = subprocess.Popen(["target/masticmill-node", "--config", path], cwd=ROOT, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL,
                                            env={"PATH": os.environ["PATH"], "HOME": self.tmp, "LANG": "C",
                                                 "MASTICMILL_BOOT": path})
        log.close()
        self.record.line("node", name, "started")

    def kill(self, name, how=signal.SIGKILL):
        self.nodes[name].send_signal(how)
        self.record.line("node", name, how.name)

    async def wait_ready(self):
        for _ in range(150):
            answers = [await call(self.config[n][1], "GET", "/ready", "x", timeout_s=1) for n in self.nodes]
            if all(a[0] == 200 for a in answers):
                await asyncio.sleep(2.0)   # homes and links settle
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the instances did not become ready")

    async def request(self, node, method, job, body=None, timeout_s=5.0, quiet=False):
        sent = now_ms()
        status, answer = await call(self.front[node], method, self.PREFIX + job, self.HOST, body, timeout_s)
        if not quiet:
            self.record.line("client", method, job, "at", node, f"sent {sent:.1f}", "answer", status,
                             json.dumps(answer))
        return status, answer

    async def stop(self):
        for p in self.nodes.values():
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
        for p in self.nodes.values():
            p.wait()
        for e in getattr(self, "executors", []):
            e.up = False
        self.record.close()
        shutil.rmtree(self.tmp, ignore_errors=True)


class CannotRun(Exception):
    pass


def job(steps, work_ms, spec=""):
    """A job that is to be kept: a chain of steps with one count each."""
    return {"spec": f"work={work_ms};{spec}",
            "steps": [dict({"count": n, "cpu": 1000, "memMb": 64, "estimateMs": work_ms},
                           **({"after": [i - 1]} if i else {})) for i, n in enumerate(steps)]}


def new_id():
    return f"{random.getrandbits(64):016x}"


def main(case, folder, **options):
    """Runs case(world, trouble), which returns the list of breaks of the rule."""
    async def play():
        world = World(folder, **options)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await world.start()
            return await case(world, os.environ.get("TROUBLE", "1") != "0")
        finally:
            await world.stop()

    async def body():
        return await asyncio.wait_for(play(), 115)

    try:
        breaks = asyncio.run(body())
    except (CannotRun, OSError, TimeoutError, asyncio.TimeoutError, asyncio.CancelledError) as e:
        print("the case could not run:", repr(e))
        sys.exit(2)
    for b in breaks:
        print("broken:", b)
    with open(os.path.join(folder, "record.txt"), "a") as f:
        f.write("".join(f"broken: {b}\n" for b in breaks) or "the rule held\n")
    if not breaks:
        print("the rule held")
    sys.exit(1 if breaks else 0)
