#!/usr/bin/env python3
"""Stand-in for the platform's store: a partitioned log with keyed topics and groups.

usage: store.py PORT

POST /internal/put?topic=T&key=K stores the body as the operator and the workers do, and takes no
calls of the system.
"""

import asyncio
import base64
import struct
import sys
import time

from http_server import connection_handler

PARTITIONS = 32
RECORD_MAX_BYTES = 262144
CALL_MAX_BYTES = 2097152
PARTITION_MAX_BYTES = 200 * 1024 * 1024
KEEP_S = 20
PAGE_RECORDS = 500
PAGE_BYTES = 1000000
REPEATS_KEPT = 5
READ_ONLY_TOPICS = ("keyed.op", "keyed.servers")


class Partition:
    def __init__(self):
        self.first = 0      # offset of the first record that is kept
        self.records = []   # (time, bytes), from FIRST on
        self.bytes = 0
        self.newest = {}    # key -> (offset, value)
        self.producers = {}  # name -> Producer
        self.changed = asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)

    def append(self, records, keyed):
        now = time.monotonic()
        for record in records:
            if keyed:
                key = record[1:1 + record[0]].decode("utf-8", "replace")
                value = record[1 + record[0]:]
                if value:
                    self.newest[key] = (self.end, value)
                else:
                    self.newest.pop(key, None)
            self.records.append((now, record))
            self.bytes += len(record)
        if records:
            self.changed.set()
            self.changed = asyncio.Event()
        self.expire(now)

    def expire(self, now):
        n = 0
        while n < len(self.records) and (self.records[n][0] < now - KEEP_S
                                         or self.bytes > PARTITION_MAX_BYTES):
            self.bytes -= len(self.records[n][1])
            n += 1
        if n > 1000 or n == len(self.records):
            del self.records[:n]
            self.first += n
        else:
            self.bytes += sum(len(self.records[i][1]) for i in range(n))


class Producer:
    def __init__(self, epoch):
        self.epoch = epoch
        self.sequence = None
        self.answers = {}  # sequence -> first answer, of the last appends


def split_records(body):
    """Returns the records in BODY, or None if it is malformed."""
    records = []
    at = 0
    while at < len(body):
        if at + 4 > len(body):
            return None
        size = struct.unpack_from(">I", body, at)[0]
        if size > RECORD_MAX_BYTES or at + 4 + size > len(body):
            return None
        records.append(bytes(body[at + 4:at + 4 + size]))
        at += 4 + size
    return records


class Group:
    """Members of a group, and which of them holds which partition."""

    def __init__(self):
        self.generation = 0
        self.members = {}  # name -> [topics, time of the last join, ttl in s]
        self.held = {}     # (topic, partition) -> member
        self.wanted = {}   # (topic, partition) -> member that is to hold it

    def rebalance(self):
        self.generation += 1
        self.wanted = {}
        for topic in sorted({t for member in self.members.values() for t in member[0]}):
            names = [n for n, m in self.members.items() if topic in m[0]]
            quota = {n: PARTITIONS // len(names) + (i < PARTITIONS % len(names))
                     for i, n in enumerate(names)}
            free = []
            for part in range(PARTITIONS):
                name = self.held.get((topic, part))
                if quota.get(name, 0) > 0:
                    quota[name] -= 1
                    self.wanted[(topic, part)] = name
                else:
                    free.append(part)
            for part in free:
                name = next(n for n in names if quota[n] > 0)
                quota[name] -= 1
                self.wanted[(topic, part)] = name

    def remove(self, name):
        del self.members[name]
        self.held = {k: n for k, n in self.held.items() if n != name}

    def expire(self):
        now = time.monotonic()
        gone = [n for n, m in self.members.items() if now > m[1] + m[2]]
        for name in gone:
            self.remove(name)
        if gone:
            self.rebalance()

    def join(self, name, topics, ttl_s, generation):
        self.expire()
        known = self.members.get(name)
        self.members[name] = [topics, time.monotonic(), ttl_s]
        if known is None or known[0] != topics:
            self.rebalance()
        elif generation == self.generation:
            self.held = {k: n for k, n in self.held.items()
                         if n != name or self.wanted.get(k) == name}
        for key, wanted in self.wanted.items():
            if wanted == name and key not in self.held:
                self.held[key] = name
        return {"generation": self.generation,
                "parts": [[t, p, 0] for (t, p), n in sorted(self.held.items())
                          if n == name and self.wanted.get((t, p)) == name]}


class Store:
    def __init__(self):
        self.partitions = {}
        self.groups = {}

    def partition(self, topic, part):
        return self.partitions.setdefault((topic, int(part)), Partition())

    async def serve(self, request):
        calls = {("POST", "/api/log-append"): self.append, ("GET", "/api/log-read"): self.read,
                 ("GET", "/api/log-newest"): self.newest, ("POST", "/api/log-join"): self.join,
                 ("POST", "/api/log-leave"): self.leave, ("GET", "/api/log-owners"): self.owners,
                 ("POST", "/internal/put"): self.put}
        call = calls.get((request.method, request.path))
        return await call(request) if call else (404, {})

    async def put(self, request):
        key = request.query["key"].encode()
        self.partition(request.query["topic"], 0).append(
            [bytes([len(key)]) + key + request.body], True)
        return 200, {}

    async def append(self, request):
        query = request.query
        topic = query["topic"]
        if topic in READ_ONLY_TOPICS:
            return 403, {}
        if len(request.body) > CALL_MAX_BYTES:
            return 413, {}
        records = split_records(request.body)
        if records is None:
            return 400, {}
        partition = self.partition(topic, query["part"])
        if "at" in query and int(query["at"]) != partition.end:
            return 412, {"end": partition.end}
        producer = None
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            producer = partition.producers.setdefault(query["producer"], Producer(epoch))
            if epoch < producer.epoch:
                return 409, {"reason": "fenced"}
            if epoch > producer.epoch:
                producer = partition.producers[query["producer"]] = Producer(epoch)
            if sequence in producer.answers:
                return 200, producer.answers[sequence]
            if producer.sequence is not None and sequence != producer.sequence + 1:
                return 409, {"reason": "seq", "expected": producer.sequence + 1}
        offset = partition.end
        partition.append(records, topic.startswith("keyed."))
        answer = {"offset": offset, "end": partition.end}
        if producer is not None:
            producer.sequence = sequence
            producer.answers[sequence] = answer
            producer.answers.pop(sequence - REPEATS_KEPT, None)
        return 200, answer

    async def read(self, request):
        query = request.query
        partition = self.partition(query["topic"], query["part"])
        start = int(query["from"])
        deadline = time.monotonic() + min(int(query.get("wait-ms", 0)), 30000) / 1000
        while start >= partition.end and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(partition.changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        if start < partition.first:
            return 410, {"first": partition.first}
        page = bytearray(struct.pack(">QQ", partition.end, partition.first))
        limit = int(query.get("max-kb", 1024)) * 1024
        for _, record in partition.records[start - partition.first:]:
            if len(page) > 16 and len(page) + 4 + len(record) > limit:
                break
            page += struct.pack(">I", len(record)) + record
        return 200, page

    async def newest(self, request):
        partition = self.partition(request.query["topic"], request.query["part"])
        after = request.query.get("after", "")
        keys = sorted(k for k in partition.newest if k > after)
        items = []
        size = 0
        for key in keys:
            offset, value = partition.newest[key]
            if items and (len(items) >= PAGE_RECORDS or size + len(value) > PAGE_BYTES):
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "has-more": len(items) < len(keys), "end": partition.end}

    def group(self, name):
        return self.groups.setdefault(name, Group())

    async def join(self, request):
        body = request.json()
        return 200, self.group(body["group"]).join(body["member"], tuple(body["topics"]),
                                                   body["ttl-ms"] / 1000, body["generation"])

    async def leave(self, request):
        body = request.json()
        group = self.group(body["group"])
        if body["member"] in group.members:
            group.remove(body["member"])
            group.rebalance()
        return 200, {}

    async def owners(self, request):
        group = self.group(request.query["group"])
        group.expire()
        return 200, {"owners": [[t, p, n, 0] for (t, p), n in sorted(group.held.items())]}


async def main():
    server = await asyncio.start_server(connection_handler(Store().serve), "127.0.0.1",
                                        int(sys.argv[1]), backlog=500, limit=1 << 22)
    async with server:
        await server.serve_forever()


asyncio.run(main())
