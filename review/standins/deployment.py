"""Starts a small deployment on loopback addresses: the store, workers and daemons.

The daemons are started with the command of the deploy file, and their settings are the template of
the deploy file with the values of a small deployment.
"""

import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
ZONES = ("sof-a", "sof-b", "sof-c")
HOST = "h.example"
COULD_NOT_RUN = 2


def fail_to_run(why):
    print(f"could not run: {why}")
    sys.exit(COULD_NOT_RUN)


def free_ports(n):
    sockets = []
    for _ in range(n):
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def call(port, method, path, body=None, timeout_s=3.0):
    """Returns (status, body) of a call; status 0: no answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        data = json.dumps(body).encode() if body is not None else None
        connection.request(method, path, data, {"Host": HOST, "Content-Type": "application/json",
                                                "Flamingobarrow-Deadline-Ms": "3000"})
        response = connection.getresponse()
        return response.status, response.read().decode()
    except OSError:
        return 0, ""
    except http.client.HTTPException:
        return 0, ""
    finally:
        connection.close()


class Deployment:
    def __init__(self, record_path):
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
        self.record = open(record_path, "w")
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = {}  # name -> Popen
        self.ports = {}      # daemon -> [callers, readiness, peers, metrics]
        self.peers = {}      # daemon -> port at which the other daemons find it
        self.stores = {}     # daemon -> port at which it finds the store
        self.worker_logs = {}
        self.store_port = 0

    # ---- records

    def note(self, text):
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self.record.write(line + "\n")
        self.record.flush()
        print(line, flush=True)

    def runs(self):
        """Returns what the workers have recorded: rows of time, worker, event and the rest."""
        rows = []
        for path in self.worker_logs.values():
            with open(path) as log:
                rows += [line.split() for line in log if line.endswith("\n")]
        rows.sort(key=lambda row: float(row[0]))
        return [(float(row[0]) - self.began, *row[1:]) for row in rows]

    def note_runs(self, rows):
        """Writes all starts and ends at the workers into the record."""
        for row in rows:
            if row[2] != "acknowledged":
                self.record.write(f"{row[0]:8.3f} worker {' '.join(row[1:])}\n")
        self.record.flush()

    # ---- processes

    def start(self, name, argv, log):
        out = open(os.path.join(self.folder, log), "ab")
        self.processes[name] = subprocess.Popen(argv, cwd=ROOT, stdin=subprocess.DEVNULL,
                                                stdout=out, stderr=out)
        out.close()

    def start_store(self, routes, services, version=1):
        self.store_port = free_ports(1)[0]
        self.start("store", [sys.executable, os.path.join(HERE, "store.py"),
                             str(self.store_port)], "store.log")
        self.wait_for("the store", lambda: call(self.store_port, "GET",
                                                "/api/log-owners?group=x")[0] == 200)
        self.configure(routes, services, version)

    def configure(self, routes, services, version):
        """Stores a configuration as the operator does, and returns when it is acknowledged."""
        config = {"version": version, "routes": routes,
                  "services": [{"name": s, "enforces-capacity": False} for s in services],
                  "limits": {}}
        status, _ = call(self.store_port, "POST", "/internal/put?topic=keyed.op&key=config", config)
        self.note(f"operator: configuration {version} stored, status {status}: "
                  + ", ".join(f"{r['name']} -> {r['service']}" for r in routes))

    def start_workers(self, service, n, cpu, mem, zone=ZONES[0], name=None):
        ports = free_ports(n)
        name = name or f"workers-{service}"
        log = os.path.join(self.folder, f"{name}.runs")
        self.worker_logs[name] = log
        self.start(name, [sys.executable, os.path.join(HERE, "workers.py"), str(self.store_port),
                          log, service, zone, str(cpu), str(mem), *map(str, ports)], f"{name}.log")

    def add_daemon(self, name):
        self.ports[name] = free_ports(4)
        self.peers[name] = self.ports[name][2]
        self.stores[name] = self.store_port

    def start_daemon(self, name):
        index = sorted(self.ports).index(name)
        callers, readiness, peers, metrics = self.ports[name]
        path = os.path.join(self.folder, f"{name}.ini")
        advertised = (f"advertised-peers=127.0.0.1:{self.peers[name]}\n"
                      if self.peers[name] != peers else "")
        with open(path, "w") as settings:
            settings.write(
                f"[daemon]\nname={name}\ndomain={ZONES[index % len(ZONES)]}\ncpu=0.25\nlink=1000\n"
                "grace=6s\nconfiguration-bound=2000ms\n"
                f"[listen]\ncallers=127.0.0.1:{callers}\nreadiness=127.0.0.1:{readiness}\n"
                f"peers=127.0.0.1:{peers}\n{advertised}metrics=127.0.0.1:{metrics}\n"
                f"[store]\naddress=127.0.0.1:{self.stores[name]}\npartitions=32\n"
                "shortest-membership=1000ms\nlargest-record=262144\nlargest-append=2097152\n"
                "[advice]\n"
                "[workers]\nlongest-lease=6000ms\nlongest-stop=200ms\ngang-patience=3000ms\n")
        self.start(name, daemon_command(path), f"{name}.log")

    def start_daemons(self, n):
        names = [f"d{i}" for i in range(n)]
        for name in names:
            if name not in self.ports:
                self.add_daemon(name)
        for name in names:
            self.start_daemon(name)
        for name in names:
            self.wait_for(f"daemon {name}", lambda: self.ready(name))
        return names

    def signal(self, name, number):
        self.note(f"{name}: {signal.Signals(number).name}, sent by the test")
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def log_of(self, name):
        with open(os.path.join(self.folder, f"{name}.log"), errors="replace") as log:
            return log.read()

    def owner(self, daemons, service):
        """Returns the running daemon whose last line about the pool of SERVICE says that it has
        recovered it.  A pool that is lost is named by its partition only, so it counts as lost
        when any pool taken at the same moment is."""
        for name in daemons:
            if self.processes[name].poll() is None and self.has_pool(name, service):
                return name
        return None

    def has_pool(self, name, service):
        partitions = {}  # epoch -> partitions taken with it
        epoch = None     # of the pool of SERVICE; None: not owned
        for line in self.log_of(name).splitlines():
            match = re.search(r" POOL_(TAKEN|SETTLED|LOST) (.*)", line)
            if " PROCESS_STARTED " in line:
                epoch = None
            if not match:
                continue
            fields = dict(word.split("=", 1) for word in match[2].split() if "=" in word)
            if match[1] == "TAKEN":
                partitions.setdefault(fields["epoch"], set()).add(fields["partition"])
            elif match[1] == "SETTLED" and fields["service"] == service:
                epoch = fields["epoch"]
            elif match[1] == "LOST" and fields["partition"] in partitions.get(epoch, ()):
                epoch = None
        return epoch is not None

    # ---- conditions

    def ready(self, name):
        return call(self.ports[name][1], "GET", "/api/readyz")[0] == 200

    def wait_for(self, what, condition, timeout_s=20):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            result = condition()
            if result:
                return result
            for name, process in self.processes.items():
                if process.poll() is not None and name in ("store",):
                    fail_to_run(f"{name} has ended")
            time.sleep(0.05)
        self.close()
        fail_to_run(f"waited {timeout_s} s for {what}")

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP") == "1":
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def daemon_command(settings_path):
    """Returns the command of the deploy file, with other settings."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as deploy:
        command = re.search(r'^run = "(.*)"$', deploy.read(), re.M)[1].split()
    if not os.path.exists(os.path.join(ROOT, command[0])):
        fail_to_run(f"{command[0]} is not built")
    return [settings_path if word.startswith("/") else word for word in command]
