"""A late heartbeat after the daemon that acknowledged the goodbye was started again."""

import json
import pathlib
import signal
import socket
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
sys.dont_write_bytecode = True

from standins import Caller, Deployment, Server, document, has_trouble, now, request_id, route, run

CONTACT_S = 3.0
DRAIN_S = 2.0
# How late the heartbeat is, and how long the server serves on after its goodbye.
LATE_S = 2.5
STAY_S = 9.0


def scenario():
    routes = {"read": route("/read/", "idempotent", "desk", 5.0)}
    vms = [("desk", "zone-a"), ("desk", "zone-b"), ("archive", "zone-c")]
    estate = Deployment(HERE, vms, document(7, routes, ["desk", "archive"]))
    record, leaving, vm = estate.record, estate.servers[0], estate.vms[0]
    reached = []
    stop = threading.Event()

    def send_answer(server, connection, line, headers):
        if server is leaving:
            reached.append(now())
        return Server.send_short(server, connection, line, headers)

    def ask_forever(address):
        while not stop.is_set():
            request = request_id()
            try:
                caller = Caller(address)
                record("caller-sends", request=request)
                answer = caller.ask("/read/x", request)
                caller.close()
            except OSError:
                answer = None
            record("caller-got", request=request, status=0 if answer is None else answer.status)
            time.sleep(0.05)

    def call_control(method, body):
        with socket.create_connection(vm.announcements, timeout=1) as connection:
            connection.sendall(
                f"{method} /instances/{leaving.id} HTTP/1.1\r\nHost: control\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                f"Connection: close\r\n\r\n".encode() + body
            )
            return b" 200 " in connection.makefile("rb").readline()

    try:
        if not estate.start() or not estate.wait_served("/read/warm"):
            return 2
        for server in estate.servers:
            server.send_answer = send_answer
        for other in estate.vms[1:]:
            threading.Thread(target=ask_forever, args=(other.callers,), daemon=True).start()
        time.sleep(3.0)
        leaving.sequence += 1
        late = {
            "upstream": "desk",
            "address": "%s:%d" % leaving.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldLeftS": 0,
            "sequence": leaving.sequence,
            "born": leaving.born,
        }
        leaving.state = "gone"  # It sends no heartbeats from now on.
        time.sleep(0.2)
        if not call_control("DELETE", b""):
            return 2
        acknowledged = now()
        record("goodbye-acknowledged")
        started = acknowledged
        if has_trouble():
            time.sleep(0.3)
            vm.signal(signal.SIGKILL)
            vm.process.wait()
            record("SIGKILL", vm=0)
            time.sleep(0.5)
            vm.start()
            started = now()
            record("started", vm=0)
        time.sleep(max(0.0, acknowledged + LATE_S - now()))
        record("late-heartbeat", acknowledged=call_control("PUT", json.dumps(late).encode()))
        time.sleep(max(0.0, acknowledged + STAY_S - now()))
        stop.set()
        in_touch = max(acknowledged + DRAIN_S, started + CONTACT_S + 0.2)
        late_runs = [at for at in reached if at > in_touch]
        print(
            f"{len(late_runs)} requests reached the server later than {DRAIN_S} s after the "
            f"acknowledgement, from machines in touch"
        )
        return 1 if late_runs else 0
    finally:
        stop.set()
        estate.end()


run(scenario)
