"""A recurring batch with many tasks, whose pool's owner is killed once.

Three daemons run on the stand-in platform.  A client submits one job: 40 occurrences of 2,000 short
tasks, one every 0.5 s.  When 70,000 tasks have ended and the job is still running, the daemon that
owns the pool is killed (SIGKILL).  Afterwards no task that has ended "done" may be started again.

Exit status: 1 when a task ran twice, 0 when none did, 2 when the case could not be run.
"""

import collections
import http.client
import json
import os
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
DAEMON = os.path.join(ROOT, "target", "flamingobarrowd")
PLATFORM = os.path.join(ROOT, "target", "review-2", "standin-platform")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

WORKERS = 24
DAEMONS = 3
OCCURRENCES = 40
TASKS = 2000
INTERVAL_MS = 500
KILL_AFTER_DONE = 70000
TIME_LIMIT_S = 105
AFTER_KILL_S = 25
SHOWN_TASKS = 20
JOB = "5e11ed0000000001"

BEGAN = time.monotonic()


class CannotRun(Exception):
    """The case could not be brought to the point that it tests."""


class Record:
    """What was sent, answered and run, as text."""

    def __init__(self):
        self.file = open(os.path.join(HERE, "record.txt"), "w", encoding="utf-8")

    def write(self, text):
        self.file.write("%7.2f s  %s\n" % (time.monotonic() - BEGAN, text))
        self.file.flush()


def free_ports(n):
    """Returns the first of N consecutive ports that are free."""
    for base in range(21000 + os.getpid() % 97 * 100, 32000, 100):
        sockets = []
        try:
            for port in range(base, base + n):
                sock = socket.socket()
                sockets.append(sock)
                sock.bind(("127.0.0.1", port))
            return base
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise CannotRun("no ports are free")


def call(port, method, path, body=None, host="h.example"):
    """Returns the status and the text of the answer; status 0: none."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    try:
        connection.request(method, path, body, {"Host": host, "Content-Type": "application/json"})
        response = connection.getresponse()
        return response.status, response.read().decode()
    except OSError:
        return 0, ""
    finally:
        connection.close()


def wait_for(condition, limit_s, what):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        value = condition()
        if value is not None and value is not False:
            return value
        time.sleep(0.1)
    raise CannotRun(what)


class Deployment:
    def __init__(self, folder):
        self.folder = folder
        self.base = free_ports(WORKERS + 1 + 4 * DAEMONS)
        self.processes = []
        self.platform = None

    def port(self, daemon):
        return self.base + WORKERS + 1 + 4 * daemon

    def settings(self, daemon):
        port = self.port(daemon)
        return "\n".join([
            "[daemon]", "name=d%d" % daemon, "domain=zone-%d" % daemon, "cpu=0.25", "link=1000",
            "grace=6s", "configuration-bound=2000ms",
            "[listen]", "callers=127.0.0.1:%d" % port, "readiness=127.0.0.1:%d" % (port + 1),
            "peers=127.0.0.1:%d" % (port + 2), "metrics=127.0.0.1:%d" % (port + 3),
            "[store]", "address=127.0.0.1:%d" % self.base, "partitions=32",
            "shortest-membership=1000ms", "largest-record=262144", "largest-append=2097152",
            "[workers]", "longest-lease=6000ms", "longest-stop=200ms", "gang-patience=3000ms", ""])

    def start(self):
        environment = dict(os.environ, G_MESSAGES_DEBUG="all")
        log = open(os.path.join(self.folder, "platform.log"), "wb")
        self.platform = subprocess.Popen([PLATFORM, str(self.base), str(WORKERS)],
                                         stdout=log, stderr=log, env=environment)
        for daemon in range(DAEMONS):
            path = os.path.join(self.folder, "d%d.ini" % daemon)
            with open(path, "w", encoding="utf-8") as file:
                file.write(self.settings(daemon))
            out = open(os.path.join(self.folder, "d%d.log" % daemon), "wb")
            self.processes.append(subprocess.Popen([DAEMON, "--settings", path], cwd=ROOT,
                                                   stdout=out, stderr=out))
        for daemon in range(DAEMONS):
            wait_for(lambda d=daemon: call(self.port(d) + 1, "GET", "/api/readyz")[0] == 200, 15,
                     "daemon %d is not ready" % daemon)
        wait_for(lambda: self.owner(), 15, "the pool has no owner")
        time.sleep(2)

    def owner(self):
        """Returns the daemon that the store lists for the partition of the pool, as (number,)."""
        partitions = set()
        for daemon in range(DAEMONS):
            with open(os.path.join(self.folder, "d%d.log" % daemon), encoding="utf-8",
                      errors="replace") as file:
                partitions.update(re.findall(r"POOL_TAKEN partition=(\d+)", file.read()))
        status, text = call(self.base, "GET", "/api/log-owners?group=owners")
        if status != 200 or not partitions:
            return None
        rows = [row for value in json.loads(text).values() if isinstance(value, list)
                for row in value]
        for row in rows:
            if str(row[1]) not in partitions:
                continue
            for daemon in range(DAEMONS):
                if row[2].startswith("127.0.0.1:%d/" % (self.port(daemon) + 2)):
                    return (daemon,)
        return None

    def audit(self):
        status, text = call(self.base, "GET", "/audit")
        if status != 200:
            raise CannotRun("the stand-in platform does not answer")
        return json.loads(text)

    def stop(self):
        for process in self.processes + [self.platform]:
            if process is not None and process.poll() is None:
                process.kill()
        for process in self.processes + [self.platform]:
            if process is not None:
                process.wait()


def submit(deployment, record):
    body = json.dumps({"spec": "1", "start-ms": int(time.time() * 1000) + 200,
                       "interval-ms": INTERVAL_MS, "times": OCCURRENCES,
                       "phases": [{"count": TASKS, "cpu": 2000, "mem-mb": 10, "estimate-ms": 10}]})
    status, text = call(deployment.port(0), "POST", "/q/" + JOB, body)
    record.write("client: POST /q/%s %s -> %d %s" % (JOB, body, status, text))
    if status != 200:
        raise CannotRun("the job was not accepted")


def state(deployment, daemon, record):
    status, text = call(deployment.port(daemon), "GET", "/q/" + JOB)
    record.write("client: GET /q/%s at d%d -> %d %s" % (JOB, daemon, status, text))
    return status, text


def run_until(deployment, record, done_n):
    audit = deployment.audit()
    while audit["done"] < done_n:
        if time.monotonic() - BEGAN > TIME_LIMIT_S - AFTER_KILL_S:
            raise CannotRun("only %d tasks have ended in time" % audit["done"])
        time.sleep(0.25)
        audit = deployment.audit()
        record.write("workers: %s" % json.dumps(audit))
    return audit


def watch(deployment, record, limit_s):
    end = time.monotonic() + limit_s
    audit = deployment.audit()
    while time.monotonic() < end and audit["done"] < OCCURRENCES * TASKS:
        time.sleep(0.5)
        audit = deployment.audit()
        record.write("workers: %s" % json.dumps(audit))
    time.sleep(2)
    return deployment.audit()


def runs_again(folder):
    """Returns the tasks that began again after an end "done", with the lines about their runs."""
    pattern = re.compile(r"(i-\S+): (\S+) attempt (\d+) (starts|ends \S+)")
    done = set()
    again = collections.OrderedDict()
    lines = collections.defaultdict(list)
    with open(os.path.join(folder, "platform.log"), encoding="utf-8", errors="replace") as file:
        for line in file:
            match = pattern.search(line)
            if match is None:
                continue
            worker, task, attempt, what = match.groups()
            lines[task].append("%s run %s on %s" % (what, attempt, worker))
            if what == "ends done":
                done.add(task)
            elif what == "starts" and task in done:
                again[task] = lines[task]
    return again


def run(folder, record):
    deployment = Deployment(folder)
    try:
        deployment.start()
        submit(deployment, record)
        audit = run_until(deployment, record, KILL_AFTER_DONE)
        if audit["doubled"] > 0:
            raise CannotRun("tasks ran twice before the disruption")
        owner = deployment.owner()[0]
        status, text = state(deployment, (owner + 1) % DAEMONS, record)
        if status != 200 or "running" not in text:
            raise CannotRun("the job is not running at the disruption")
        if TROUBLE:
            record.write("disruption: SIGKILL of d%d, which owns the pool" % owner)
            deployment.processes[owner].kill()
        audit = watch(deployment, record, AFTER_KILL_S)
        state(deployment, (owner + 1) % DAEMONS, record)
    finally:
        deployment.stop()
    again = runs_again(folder)
    record.write("workers at the end: %s" % json.dumps(audit))
    record.write("tasks that began again after an end \"done\": %d" % len(again))
    for task in list(again)[:SHOWN_TASKS]:
        record.write("  %s: %s" % (task, ", ".join(again[task])))
    return 1 if again else 0


def main():
    record = Record()
    folder = tempfile.mkdtemp(prefix="review-5-")
    try:
        for program in (DAEMON, PLATFORM):
            if not os.path.exists(program):
                raise CannotRun("%s is missing" % os.path.relpath(program, ROOT))
        code = run(folder, record)
    except CannotRun as error:
        record.write("the case could not run: %s" % error)
        code = 2
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    record.write("exit status %d" % code)
    return code


if __name__ == "__main__":
    sys.exit(main())
