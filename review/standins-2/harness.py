"""What the scripts of the cases share: processes, ports, calls and the record of a run."""

import http.client
import os
import shutil
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "flamingobarrowd")
PLATFORM = os.path.join(ROOT, "target", "review-2", "standin-platform")
PLATFORM_CHECKPOINTS = PLATFORM + "-checkpoints"
HOST = "h.example"

BEGAN = time.monotonic()


class CannotRun(Exception):
    """The case could not be brought to the point that it tests."""


class Record:
    """What was sent, answered and run, as text."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

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


def call(port, method, path, body=None):
    """Returns the status and the text of the answer; status 0: none."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=3)
    try:
        connection.request(method, path, body, {"Host": HOST})
        response = connection.getresponse()
        return response.status, response.read().decode()
    except (OSError, http.client.HTTPException):
        return 0, ""
    finally:
        connection.close()


class Proxy:
    """Forwards TCP connections; while it is cut, it keeps what it receives and forwards nothing."""

    def __init__(self, listen, target):
        self.target = target
        self.is_cut = False
        self.listener = socket.create_server(("127.0.0.1", listen), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(client,), daemon=True).start()

    def _wait(self):
        while self.is_cut:
            time.sleep(0.005)

    def _connect(self, client):
        self._wait()
        try:
            server = socket.create_connection(("127.0.0.1", self.target))
        except OSError:
            client.close()
            return
        for source, sink in ((client, server), (server, client)):
            source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._forward, args=(source, sink), daemon=True).start()

    def _forward(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                self._wait()
                if not data:
                    break
                sink.sendall(data)
        except OSError:
            pass
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Deployment:
    """A stand-in of the platform (store and workers) and some daemons.

    WITH_PROXIES: each daemon reaches the store, and the others reach it, through proxies of its own.
    """

    def __init__(self, folder, record, daemons_n, workers_n, with_proxies=False,
                 program=PLATFORM):
        self.folder = folder
        self.record = record
        self.program = program
        self.workers_n = workers_n
        self.base = free_ports(workers_n + 1 + 6 * daemons_n)
        self.daemons = [None] * daemons_n
        self.platform = None
        self.store_proxies = []
        self.peer_proxies = []
        if with_proxies:
            for daemon in range(daemons_n):
                port = self.port(daemon)
                self.store_proxies.append(Proxy(port + 4, self.base))
                self.peer_proxies.append(Proxy(port + 5, port + 2))

    def port(self, daemon):
        """The port of DAEMON for callers; its five others follow."""
        return self.base + self.workers_n + 1 + 6 * daemon

    def settings(self, daemon):
        """The settings of the deploy file's template, with the bounds of zvs-sofia."""
        port = self.port(daemon)
        store = port + 4 if self.store_proxies else self.base
        peers = port + 5 if self.peer_proxies else port + 2
        return "\n".join([
            "[daemon]", "name=d%d" % daemon, "domain=zone-%d" % daemon, "cpu=0.25", "link=1000",
            "grace=6s", "configuration-bound=2000ms",
            "[listen]", "callers=127.0.0.1:%d" % port, "readiness=127.0.0.1:%d" % (port + 1),
            "peers=127.0.0.1:%d" % (port + 2), "advertised-peers=127.0.0.1:%d" % peers,
            "metrics=127.0.0.1:%d" % (port + 3),
            "[store]", "address=127.0.0.1:%d" % store, "partitions=32",
            "shortest-membership=1000ms", "largest-record=262144", "largest-append=2097152",
            "[workers]", "longest-lease=6000ms", "longest-stop=200ms", "gang-patience=3000ms", ""])

    def log_of(self, daemon):
        path = os.path.join(self.folder, "d%d.log" % daemon)
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read()

    def start_daemon(self, daemon):
        path = os.path.join(self.folder, "d%d.ini" % daemon)
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(daemon))
        with open(os.path.join(self.folder, "d%d.log" % daemon), "ab") as out:
            self.daemons[daemon] = subprocess.Popen([DAEMON, "--settings", path], cwd=ROOT,
                                                    stdout=out, stderr=out)

    def start(self):
        environment = dict(os.environ, G_MESSAGES_DEBUG="all")
        with open(os.path.join(self.folder, "platform.log"), "wb") as log:
            self.platform = subprocess.Popen([self.program, str(self.base), str(self.workers_n)],
                                             stdout=log, stderr=log, env=environment)
        for daemon in range(len(self.daemons)):
            self.start_daemon(daemon)

    def runs(self):
        """Returns the lines of the workers about starts and ends of runs."""
        path = os.path.join(self.folder, "platform.log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return [line.strip() for line in file if " attempt " in line]

    def call_job(self, daemon, method, job, body=None):
        status, text = call(self.port(daemon), method, "/q/" + job, body)
        self.record.write("client: %s /q/%s at d%d%s -> %d %s"
                          % (method, job, daemon, " " + body if body else "", status, text))
        return status, text

    def wait_until_ready(self, job, body):
        """Waits until all daemons are ready and JOB has run."""
        end = time.monotonic() + 25
        is_accepted = False
        while time.monotonic() < end:
            ready = all(call(self.port(d) + 1, "GET", "/api/readyz")[0] == 200
                        for d in range(len(self.daemons)))
            if ready and not is_accepted:
                is_accepted = self.call_job(0, "POST", job, body)[0] == 200
            elif ready and "completed" in self.call_job(0, "GET", job)[1]:
                return
            time.sleep(0.2)
        raise CannotRun("the deployment doesn't run a first job")

    def stop(self):
        for process in self.daemons + [self.platform]:
            if process is not None and process.poll() is None:
                process.kill()
            if process is not None:
                process.wait()


def main(folder, run):
    """Calls RUN with a temporary folder and a record.  Returns: the exit status of the case."""
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="review-")
    try:
        for program in (DAEMON, PLATFORM, PLATFORM_CHECKPOINTS):
            if not os.path.exists(program):
                raise CannotRun("%s is missing" % os.path.relpath(program, ROOT))
        code = run(temporary, record)
    except CannotRun as error:
        record.write("the case could not run: %s" % error)
        code = 2
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    record.write("exit status %d" % code)
    return code
