"""A small deployment on loopback addresses: the store, executors and the
operator as stand-ins, and the instances as processes of the deploy file."""

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

from executor import Executor, by_spec
from store import Store
from wire import call, free_port

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "tasks-service"
PARTS = 16


class CannotRun(Exception):
    """The case could not run: neither kept nor broken."""


def render(template, settings):
    """Fills in the placeholders that deploy/node.toml.in uses."""
    def section(match):
        names = list(settings[match.group(1)])
        inner = match.group(2).replace("{{,}}", "\0")
        text = "".join(inner.replace("{{@}}", n) for n in names)
        return ",".join(text.split("\0")[:-1]) if "\0" in text else text

    def value(match):
        found = settings
        for name in match.group(1).split("."):
            found = found[int(name) if name.isdigit() else name]
        return str(found)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Node:
    def __init__(self, deployment, number, zone):
        self.deployment = deployment
        self.name = "edge-%d" % number
        self.zone = zone
        self.front, self.ready, self.mesh, self.state = (
            free_port() for _ in range(4))
        self.process = None

    def start(self):
        d = self.deployment
        settings = {
            "node": self.name, "ip": "127.0.0.1", "zone": self.zone,
            "zones": d.zones,
            "listen": {"front": "127.0.0.1:%d" % self.front,
                       "ready": "127.0.0.1:%d" % self.ready},
            "portRange": [self.mesh, self.state],
            "bounds": {"graceS": 6}, "limits": {"linkMbps": 1000.0},
            "platform": {"addr": "127.0.0.1:%d" % d.store_port,
                         "parts": PARTS}}
        path = os.path.join(d.folder, self.name + ".toml")
        with open(os.path.join(ROOT, d.deploy["template"])) as f:
            text = render(f.read(), settings)
        with open(path, "w") as f:
            f.write(text)
        words = d.deploy["run"].split()
        words = [path if w.endswith("local.toml") else w for w in words]
        program = os.path.join(ROOT, words[0])
        if not os.access(program, os.X_OK):
            raise CannotRun("%s is not built" % words[0])
        log = open(os.path.join(d.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [program] + words[1:], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "MASTICMILL_BOOT": path})
        log.close()
        d.record("node_start", node=self.name)

    def signal(self, number):
        self.deployment.record("node_signal", node=self.name,
                               signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def alive(self):
        return self.process is not None and self.process.poll() is None


class Deployment:
    """Use as: async with Deployment(...) as d."""

    def __init__(self, case, nodes=3, zones=("dc1",), attempts=4):
        self.case = case
        self.zones = list(zones)
        self.attempts = attempts
        self.executors = []
        self.store = Store(PARTS)
        self.started_s = time.monotonic()
        self.events = []
        self.out = open(os.path.join(case, "record.txt"), "w")
        self.folder_object = tempfile.TemporaryDirectory()
        self.folder = self.folder_object.name
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as f:
            self.deploy = tomllib.load(f)["roles"]["node"]
        self.nodes = [Node(self, i, self.zones[i % len(self.zones)])
                      for i in range(nodes)]

    def record(self, what, **fields):
        event = dict(t=round(time.monotonic() - self.started_s, 3), what=what,
                     **fields)
        self.events.append(event)
        text = json.dumps(event)
        self.out.write(text[:2000] + "\n")
        self.out.flush()

    def seen(self, what, **fields):
        return [e for e in self.events if e["what"] == what
                and all(e.get(k) == v for k, v in fields.items())]

    def configure(self, version=1):
        route = {"name": "q", "host": HOST, "pathPrefix": PREFIX,
                 "kind": "non_idempotent", "timeoutMs": 1500, "sloMs": 60,
                 "priority": 1, "service": SERVICE,
                 "attempts": self.attempts, "stretch": 1.6}
        service = {"name": SERVICE, "healthPath": "/health", "maxConns": 64,
                   "protocol": "h1", "tls": False, "enforceCapacity": False,
                   "standby": False}
        self.store.put("keyed.op", "config", json.dumps(
            {"version": version, "routes": [route], "services": [service],
             "limits": {}}).encode())
        self.record("config", version=version)

    async def add_executor(self, name, behave=by_spec, **options):
        executor = Executor(self.store, self.record, name, behave,
                            service=SERVICE, **options)
        self.executors.append(executor)
        await executor.start()
        return executor

    async def __aenter__(self):
        self.store_port = await self.store.start()
        self.configure()
        return self

    async def start_nodes(self, timeout_s=15):
        for node in self.nodes:
            node.start()
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            states = [(await call(n.ready, "GET", "/ready", timeout_s=1))[0]
                      for n in self.nodes]
            if all(s == 200 for s in states):
                self.record("ready")
                await asyncio.sleep(3)
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the instances are not ready")

    async def __aexit__(self, *unused):
        for node in self.nodes:
            if node.alive():
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for executor in self.executors:
            if executor.ticker:
                executor.ticker.cancel()
            await executor.server.stop()
        await self.store.server.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        self.folder_object.cleanup()
        self.out.close()

    # ---- clients

    async def client(self, node, method, job="", body=None, timeout_s=5.0,
                     deadline_ms=None):
        headers = {"Host": HOST}
        if deadline_ms:
            headers["X-Masticmill-Deadline-Ms"] = str(deadline_ms)
        data = None if body is None else (
            body if isinstance(body, bytes) else json.dumps(body).encode())
        self.record("client_sends", node=node.name, method=method, job=job,
                    bytes=len(data or b""))
        status, text = await call(node.front, method, PREFIX + job, data,
                                  headers, timeout_s)
        self.record("client_gets", node=node.name, method=method, job=job,
                    status=status, body=text[:200])
        return status, text

    async def submit(self, node, job, body, tries=20):
        """Hands a kept job in until it is accepted."""
        for i in range(tries):
            target = self.nodes[(self.nodes.index(node) + i)
                                % len(self.nodes)]
            if not target.alive():
                continue
            status, _ = await self.client(target, "POST", job, body)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(1.3)
        return False

    async def state(self, job, node=None):
        """The state that a job is shown in, or the status without one."""
        for target in [node] if node else self.nodes:
            if not target.alive():
                continue
            status, text = await self.client(target, "GET", job)
            if status == 200:
                return json.loads(text)["state"]
            if status == 410:
                return "gone"
        return "no answer"


def run_case(main, folder):
    """Runs a case.  @main returns a list of what broke the rule."""
    async def limited():
        return await asyncio.wait_for(main(), 118)
    try:
        broken = asyncio.run(limited())
    except CannotRun as why:
        print("could not run: %s" % why)
        sys.exit(2)
    except asyncio.TimeoutError:
        print("could not run: no end within 118 s")
        sys.exit(2)
    with open(os.path.join(folder, "record.txt"), "a") as f:
        f.write(json.dumps({"what": "verdict", "broken": broken}) + "\n")
    for line in broken:
        print("BROKEN: %s" % line)
    if not broken:
        print("held")
    sys.exit(1 if broken else 0)
