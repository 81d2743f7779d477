#!/usr/bin/env python3
"""Stand-in for workers of one service, each on its own port, in one process.

usage: workers.py STORE-PORT LOG SERVICE ZONE CPU MEM PORT...

The spec of a task says how long its runs take, in ms; a step that lasts has "forever".  Each start
and each end is written to LOG: time (s, monotonic clock), worker, event, task, attempt.
"""

import asyncio
import json
import sys
import time
import urllib.request

from http_server import connection_handler

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
HOLD_WAIT_MAX_MS = 2000
ENDS_LISTED = 500
TICK_S = 0.02
CLOCK_AHEAD_MS = 100000


def clock_ms():
    return int(time.monotonic() * 1000) % 10000000 + CLOCK_AHEAD_MS


class Worker:
    def __init__(self, log, name, port):
        self.log = log
        self.name = name
        self.port = port
        self.token = 0
        self.lease_ms = 0
        self.runs = {}     # task -> (attempt, timer)
        self.highest = {}  # task -> highest attempt that was stopped or has ended here
        self.ends = []     # [N, task, attempt, how, saved], not acknowledged yet
        self.ends_n = 0
        self.ended = asyncio.Event()

    def note(self, event, task, attempt, more=""):
        self.log.write(f"{time.monotonic():.3f} {self.name} {event} {task} {attempt} {more}\n")

    def end(self, task, how):
        attempt, timer = self.runs.pop(task)
        if timer is not None:
            timer.cancel()
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        self.ends_n += 1
        self.ends.append([self.ends_n, task, attempt, how, ""])
        self.note(how, task, attempt, self.ends_n)
        self.ended.set()
        self.ended = asyncio.Event()

    def extend_lease(self, deadline_ms):
        self.lease_ms = max(self.lease_ms, min(deadline_ms, clock_ms() + HOLD_MAX_MS))

    def check_lease(self):
        if self.runs and clock_ms() > self.lease_ms:
            for task in list(self.runs):
                self.end(task, "lapsed")

    def refused(self, reason):
        return 409, {"clock-ms": clock_ms(), "reason": reason}

    async def serve(self, request):
        if request.method != "POST":
            return 404, {}
        if request.headers.get("flamingobarrow-expect-instance", self.name) != self.name:
            return 421, {}
        self.check_lease()
        body = request.json()
        token = body.get("fencing-token", 0)
        if token < self.token:
            return self.refused("fence")
        self.token = token
        calls = {"/api/run-start": self.start, "/api/run-stop": self.stop, "/api/hold": self.hold}
        call = calls.get(request.path)
        return await call(body) if call else (404, {})

    async def start(self, body):
        task, attempt = body["task"], body["attempt"]
        if body["deadline-ms"] < clock_ms():
            return self.refused("late")
        self.extend_lease(body["deadline-ms"])
        if task in self.runs and self.runs[task][0] == attempt:
            return 200, {"clock-ms": clock_ms()}
        if task in self.runs or attempt <= self.highest.get(task, 0):
            return self.refused("old")
        timer = None
        if body["spec"] != "forever":
            timer = asyncio.get_running_loop().call_later(int(body["spec"]) / 1000, self.end, task,
                                                          "done")
        self.runs[task] = (attempt, timer)
        self.note("start", task, attempt, f"token={body['fencing-token']}")
        return 200, {"clock-ms": clock_ms()}

    async def stop(self, body):
        task, attempt = body["task"], body["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        if task in self.runs and self.runs[task][0] <= attempt:
            self.end(task, "stopped")
        return 200, {"clock-ms": clock_ms()}

    async def hold(self, body):
        acknowledged = body.get("acknowledged", 0)
        if self.ends and self.ends[0][0] <= acknowledged:
            self.ends = [end for end in self.ends if end[0] > acknowledged]
            self.log.write(f"{time.monotonic():.3f} {self.name} acknowledged {acknowledged}\n")
        if "deadline-ms" in body:
            self.extend_lease(body["deadline-ms"])
        wait_ms = min(body.get("wait-ms", 0), HOLD_WAIT_MAX_MS)
        if wait_ms > 0 and not self.ends:
            try:
                await asyncio.wait_for(self.ended.wait(), wait_ms / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, attempt, "", 50] for task, (attempt, _) in self.runs.items()]
        return 200, {"clock-ms": clock_ms(), "running": running,
                     "finished": self.ends[:ENDS_LISTED]}


def put(store_port, key, value):
    call = urllib.request.Request(
        f"http://127.0.0.1:{store_port}/internal/put?topic=keyed.servers&key={key}",
        data=json.dumps(value).encode(), method="POST")
    urllib.request.urlopen(call, timeout=2).read()


async def beat(store_port, service, zone, capacity, workers):
    sequence = 0
    while True:
        sequence += 1
        for i, worker in enumerate(workers):
            entry = {"service": service, "address": f"127.0.0.1:{worker.port}", "zone": zone,
                     "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
                     "capacity": capacity, "labels": ["a", f"{zone}-{i // 5}"],
                     "clock-ms": clock_ms(), "sequence": sequence}
            try:
                await asyncio.to_thread(put, store_port, worker.name, entry)
            except OSError:
                pass  # the store does not answer; the next entry follows
        await asyncio.sleep(HEARTBEAT_S)


async def main():
    store_port, log, service, zone, cpu, mem = sys.argv[1:7]
    log = open(log, "w", buffering=1 << 16)
    workers = [Worker(log, f"i-{service}-{port}", int(port)) for port in sys.argv[7:]]
    for worker in workers:
        await asyncio.start_server(connection_handler(worker.serve), "127.0.0.1", worker.port,
                                   backlog=500, limit=1 << 22)
    capacity = {"cpu": int(cpu), "mem-mb": int(mem), "gpu": 0}
    beating = asyncio.create_task(beat(int(store_port), service, zone, capacity, workers))
    while not beating.done():
        await asyncio.sleep(TICK_S)
        for worker in workers:
            worker.check_lease()
        log.flush()
    beating.result()


asyncio.run(main())
