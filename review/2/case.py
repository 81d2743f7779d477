"""A queue moves to another service while a job of the queue runs; see claim.txt."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))

from deployment import Deployment, call  # noqa: E402
from rules import started_twice  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = "00000000000000a1"
PATH = f"/q/{JOB}"
BODY = {"spec": "20000", "phases": [{"count": 2, "cpu": 1000, "mem-mb": 100,
                                     "estimate-ms": 20000}]}
CONFIG_APPLY_S = 2.0
VISIBLE_S = 3.0


def route(name, service):
    return {"name": name, "host": "h.example", "path-prefix": f"/{name}/",
            "kind": "non_idempotent", "timeout-ms": 3000, "target-duration-ms": 3000,
            "priority": 1, "service": service, "max-attempts": 4, "stretch-factor": 4.0}


def main():
    deployment = Deployment(os.path.join(HERE, "record.txt"))
    try:
        return play(deployment)
    finally:
        deployment.close()


def ask(deployment, daemon, method, body=None):
    status, text = call(deployment.ports[daemon][0], method, PATH, body)
    deployment.note(f"client: {method} {PATH} at {daemon}: {status} {text}")
    return status, text


def play(deployment):
    services = ("alpha", "beta")
    deployment.start_store([route("q", "alpha"), route("s", "alpha"), route("r", "beta")],
                           services, version=3)
    for service in services:
        deployment.start_workers(service, 4, 16000, 32768)
    daemons = deployment.start_daemons(3)
    deployment.wait_for("the owners", lambda: all(
        call(deployment.ports[daemon][0], "GET", path)[0] == 200
        for daemon in daemons for path in ("/q/", "/r/")))
    time.sleep(4)  # contact-ms

    deployment.wait_for("the job to be accepted",
                        lambda: ask(deployment, "d0", "POST", BODY)[0] == 200)
    deployment.wait_for("the job to run", lambda: len(
        [r for r in deployment.runs() if r[2] == "start"]) == 2)
    time.sleep(1)
    if TROUBLE:
        deployment.configure([route("q", "beta"), route("s", "alpha"), route("r", "beta")],
                             services, version=5)
    time.sleep(max(CONFIG_APPLY_S, VISIBLE_S) + 1)

    lost = [daemon for daemon in daemons if ask(deployment, daemon, "GET")[0] == 410]
    ask(deployment, "d1", "POST", BODY)  # the same request once more, seconds after its 2xx
    time.sleep(4)
    for daemon in daemons:
        ask(deployment, daemon, "GET")

    rows = deployment.runs()
    deployment.note_runs(rows)
    twice = started_twice(rows)
    for text in twice:
        deployment.note(f"TWICE: {text}")
    for daemon in lost:
        deployment.note(f"LOST: {daemon} answers 410 for the accepted job, which nobody cancelled")
    deployment.note("broken" if twice or lost else "held")
    return 1 if twice or lost else 0


sys.exit(main())
