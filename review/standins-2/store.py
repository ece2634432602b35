"""Stand-in of the platform's store: a log with keyed topics and groups."""

import asyncio
import base64
import struct
import time

from wire import Server

ANSWER_S = 0.004
APPEND_S = 0.003
PAGE = 500


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}   # key -> (value, offset)
        self.producers = {}  # name -> [epoch, next sequence number, answers]
        self.changed = asyncio.Event()
        self.busy = asyncio.Lock()

    def add(self, record, keyed):
        self.records.append(record)
        if keyed:
            key_len = record[0]
            key = record[1:1 + key_len]
            value = record[1 + key_len:]
            if value:
                self.newest[key] = (value, len(self.records) - 1)
            else:
                self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()


class Group:
    """Assigns the partitions of one topic evenly to its members."""

    def __init__(self, topic, parts):
        self.topic = topic
        self.generation = 0
        self.members = {}               # name -> end of its membership
        self.owner = [None] * parts
        self.target = [None] * parts
        self.unlisted = [0] * parts     # generation that no longer lists it

    def rebalance(self):
        names = sorted(self.members)
        self.generation += 1
        if not names:
            self.owner = [None] * len(self.owner)
            self.target = [None] * len(self.owner)
            return
        least, more = divmod(len(self.owner), len(names))
        quota = {name: least + (i < more) for i, name in enumerate(names)}
        target = [None] * len(self.owner)
        for part, owner in enumerate(self.owner):
            if quota.get(owner, 0) > 0:
                target[part] = owner
                quota[owner] -= 1
        free = [name for name in names for _ in range(quota[name])]
        for part, owner in enumerate(self.owner):
            if target[part] is None:
                target[part] = free.pop()
            if owner is None or owner not in self.members:
                self.owner[part] = target[part]
            elif owner != target[part] and self.target[part] == owner:
                self.unlisted[part] = self.generation
        self.target = target

    def expire(self):
        now = time.monotonic()
        gone = [name for name, end in self.members.items() if end < now]
        for name in gone:
            del self.members[name]
        if gone:
            self.rebalance()

    def join(self, name, ttl_s, generation):
        self.expire()
        if name not in self.members:
            self.members[name] = time.monotonic() + ttl_s
            self.rebalance()
        self.members[name] = time.monotonic() + ttl_s
        released = [p for p, owner in enumerate(self.owner)
                    if owner == name and self.target[p] != name
                    and generation >= self.unlisted[p]]
        for part in released:
            self.owner[part] = self.target[part]
        if released:
            self.generation += 1
        return self.generation, [p for p, owner in enumerate(self.owner)
                                 if owner == name and self.target[p] == name]

    def leave(self, name):
        if self.members.pop(name, None) is not None:
            self.rebalance()


class Store:
    def __init__(self, parts=16, record_bytes=262144, call_bytes=2097152):
        self.parts = parts
        self.record_bytes = record_bytes
        self.call_bytes = call_bytes
        self.topics = {}
        self.groups = {}
        self.down = ""   # "busy", "silent" or "reset" while it is down
        self.server = Server(self.handle)

    async def start(self):
        await self.server.start()
        return self.server.port

    def partition(self, topic, part):
        return self.topics.setdefault((topic, int(part)), Partition())

    def put(self, topic, key, value):
        """Writes a record as the operator or an executor does."""
        key = key.encode()
        self.partition(topic, 0).add(bytes([len(key)]) + key + value, True)

    async def handle(self, request):
        if self.down == "busy":
            return 503, {}
        if self.down == "silent":
            await asyncio.sleep(30)
        if self.down:
            return None
        await asyncio.sleep(ANSWER_S)
        name = request.path.strip("/").replace("-", "_")
        method = getattr(self, "do_" + name, None)
        if method is None:
            return 404, {}
        return await method(request)

    # ---- the log

    async def do_log_append(self, request):
        query = request.query
        partition = self.partition(query["topic"], query["part"])
        records, pos, body = [], 0, request.body
        while pos < len(body):
            (size,) = struct.unpack_from(">I", body, pos)
            records.append(body[pos + 4:pos + 4 + size])
            pos += 4 + size
        if (any(len(r) > self.record_bytes for r in records)
                or sum(map(len, records)) > self.call_bytes):
            return 413, {"reason": "size"}
        async with partition.busy:
            await asyncio.sleep(APPEND_S)
            return self.append(partition, query, records)

    @staticmethod
    def append(partition, query, records):
        keyed = query["topic"].startswith("keyed.")
        if "at" in query and int(query["at"]) != len(partition.records):
            return 412, {"end": len(partition.records)}
        state = None
        if "producer" in query:
            epoch, seq = int(query["epoch"]), int(query["seq"])
            state = partition.producers.get(query["producer"])
            if state and epoch < state[0]:
                return 409, {"reason": "fenced"}
            if not state or epoch > state[0]:
                state = partition.producers[query["producer"]] = [
                    epoch, None, {}]
            if records:
                if seq in state[2]:
                    return 200, state[2][seq]
                if state[1] is not None and seq != state[1]:
                    return 409, {"reason": "seq", "expected": state[1]}
        offset = len(partition.records)
        for record in records:
            partition.add(record, keyed)
        answer = {"offset": offset, "end": len(partition.records)}
        if state and records:
            state[1] = seq + 1
            state[2][seq] = answer
            state[2].pop(seq - 5, None)
        return 200, answer

    async def do_log_read(self, request):
        query = request.query
        partition = self.partition(query["topic"], query["part"])
        first = int(query["from"])
        limit = int(query.get("maxKb", "1024")) * 1024
        end_s = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while first >= len(partition.records):
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(partition.changed.wait(), left_s)
            except asyncio.TimeoutError:
                break
        out = bytearray(struct.pack(">QQ", len(partition.records), 0))
        for record in partition.records[first:]:
            if len(out) + len(record) > limit + 16 and len(out) > 16:
                break
            out += struct.pack(">I", len(record)) + record
        return 200, bytes(out)

    async def do_log_newest(self, request):
        query = request.query
        partition = self.partition(query["topic"], query["part"])
        after = query.get("after")
        keys = sorted(k for k in partition.newest
                      if after is None or k > after.encode())
        items = [{"key": k.decode("utf-8", "replace"),
                  "value": base64.b64encode(partition.newest[k][0]).decode(),
                  "offset": partition.newest[k][1]} for k in keys[:PAGE]]
        return 200, {"items": items, "hasMore": len(keys) > PAGE,
                     "end": len(partition.records)}

    async def do_log_trim(self, request):
        return 200, {}

    # ---- groups

    async def do_log_join(self, request):
        body = request.json()
        topic = body["topics"][0]
        group = self.groups.setdefault(body["group"], Group(topic, self.parts))
        generation, parts = group.join(body["member"], body["ttlMs"] / 1000,
                                       body.get("generation", 0))
        return 200, {"generation": generation, "ttlMs": body["ttlMs"],
                     "parts": [[topic, part, 0] for part in parts]}

    async def do_log_leave(self, request):
        body = request.json()
        if body["group"] in self.groups:
            self.groups[body["group"]].leave(body["member"])
        return 200, {}

    async def do_log_commit(self, request):
        return 200, {}

    async def do_log_owners(self, request):
        group = self.groups.get(request.query["group"])
        if group is None:
            return 200, {"owners": []}
        group.expire()
        return 200, {"owners": [[group.topic, part, owner, 0]
                                for part, owner in enumerate(group.owner)
                                if owner is not None]}
