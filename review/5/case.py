"""An entry among those of the workers that can't be read.

Three daemons run on the stand-in platform.  A client's job runs.  Then another writer stores an
entry of 250,000 opening brackets among those of the workers.  The entry names no worker to use;
the job has to go on and its state has to be told.  A daemon that ends is started again after 1 s,
as the platform does.

Exit status: 1 when the job isn't shown as completed 20 s after the entry (it takes 3 s), 0 when it
is, 2 when the case could not be run.
"""

import json
import os
import struct
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))

import harness  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

DAEMONS = 3
RESTART_S = 1.0
TASK_MS = 3000
# The rule's finish-s is 14.
WATCHED_S = 20.0
ENTRY_BYTES = 250000
FIRST_JOB = "5e11ed0000000001"
JOB = "5e11ed0000000002"


def job_body(run_ms):
    return json.dumps({"spec": str(run_ms), "phases": [
        {"count": 3, "cpu": 2000, "mem-mb": 100, "estimate-ms": run_ms}]})


class Restarts:
    """Starts daemons again that have ended."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.ended_at = [0.0] * DAEMONS
        self.ends_n = 0

    def check(self):
        now = time.monotonic()
        for daemon, process in enumerate(self.deployment.daemons):
            if process is not None and process.poll() is not None:
                self.deployment.record.write("d%d ended by itself, status %d"
                                             % (daemon, process.returncode))
                self.deployment.daemons[daemon] = None
                self.ended_at[daemon] = now
                self.ends_n += 1
            elif process is None and now >= self.ended_at[daemon] + RESTART_S:
                self.deployment.start_daemon(daemon)


def store_entry(deployment, record):
    key = b"other-writer"
    content = struct.pack("B", len(key)) + key + b"[" * ENTRY_BYTES
    status, text = harness.call(deployment.base, "POST",
                                "/api/log-append?topic=keyed.servers&part=0",
                                struct.pack(">I", len(content)) + content)
    record.write("another writer: an entry of %d opening brackets in keyed.servers -> %d %s"
                 % (ENTRY_BYTES, status, text))
    if status != 200:
        raise harness.CannotRun("the entry was not stored")


def state_told(deployment):
    """Returns the state that some daemon tells; None: none answers."""
    for daemon in range(DAEMONS):
        status, text = deployment.call_job(daemon, "GET", JOB)
        if status == 200:
            return json.loads(text)["state"]
    return None


def run(folder, record):
    deployment = harness.Deployment(folder, record, daemons_n=DAEMONS, workers_n=6)
    try:
        deployment.start()
        deployment.wait_until_ready(FIRST_JOB, job_body(10))
        if deployment.call_job(1, "POST", JOB, job_body(TASK_MS))[0] != 200:
            raise harness.CannotRun("the job was not accepted")
        time.sleep(0.5)
        if TROUBLE:
            store_entry(deployment, record)
        began = time.monotonic()
        restarts = Restarts(deployment)
        state = None
        while time.monotonic() < began + WATCHED_S and state != "completed":
            time.sleep(0.25)
            restarts.check()
            if time.monotonic() >= began + TASK_MS / 1000 + 1:
                state = state_told(deployment)
        record.write("ends of daemons by themselves: %d" % restarts.ends_n)
        for line in deployment.runs():
            record.write("worker: %s" % line)
        record.write("state told of the job %.1f s after the entry: %s"
                     % (time.monotonic() - began, state))
        return 0 if state == "completed" else 1
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(harness.main(HERE, run))
