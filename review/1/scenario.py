"""A server's call that comes late in the planned stop of the daemon beside it."""

import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
sys.dont_write_bytecode = True

from standins import Caller, Deployment, document, has_trouble, now, request_id, route, run

# How long the desk works before it calls the archive, and the archive on the call.
DESK_S = 2.0
ARCHIVE_S = 1.5
# When callers on another VM send their requests, after the SIGTERM.
SENT_S = [1.6, 1.8, 2.0, 2.2]
# Requests sent later than this after the SIGTERM aren't excused.
EXCUSED_S = 3.0
GRACE_S = 6.0
# The deadline of a call, and the time-out of its route.
CALL_S = 2.5


def scenario():
    routes = {
        "work": route("/work/", "idempotent", "desk", 5.0),
        "call": route("/call/", "idempotent", "archive", CALL_S),
    }
    vms = [("desk", "zone-a"), ("archive", "zone-b"), ("desk", "zone-c")]
    calls = {}

    def send_answer(server, connection, line, headers):
        request = headers.get("x-request-id", "")
        status = 200
        if "/warm" not in line and server.service == "archive":
            time.sleep(ARCHIVE_S)
            estate.record("server-done", service="archive", request=request)
        elif "/warm" not in line:
            time.sleep(DESK_S)
            status = 200 if call_archive(server, request) else 500
        body = b"done"
        try:
            connection.sendall(
                server.answer_head(headers).replace("200", str(status)).encode()
                + f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
        except OSError:
            return False
        return True

    def call_archive(server, parent):
        """Calls the archive through the daemon beside the desk."""
        vm = next(vm for vm in estate.vms if vm.backend == server.address)
        request, sent = f"{parent}.1", now()
        estate.record("call-sent", request=request)
        try:
            caller = Caller(vm.callers)
            answer = caller.ask("/call/x", request, deadline_ms=int(CALL_S * 1000))
        except OSError:
            answer = None
        ended = now()
        status = 0 if answer is None else answer.status
        signature = "" if answer is None else answer.signature
        estate.record("call-ended", request=request, status=status, signature=signature or "-")
        calls[request] = (vm, sent, ended, status, signature)
        return status == 200

    estate = Deployment(HERE, vms, document(7, routes, ["desk", "archive"]), answer=send_answer)
    record = estate.record

    def ask(vm, request):
        record("caller-sends", request=request, target="/work/x")
        try:
            answer = Caller(vm.callers).ask("/work/x", request)
        except OSError:
            answer = None
        record("caller-got", request=request, status=0 if answer is None else answer.status)

    try:
        if not estate.start():
            return 2
        for target in ("/work/warm", "/call/warm"):
            if not estate.wait_served(target):
                return 2
        time.sleep(2.0)
        stopped, front = estate.vms[0], estate.vms[1]
        begin = now()
        if has_trouble():
            record("SIGTERM", vm=0)
            stopped.signal(signal.SIGTERM)
        threads = []
        for sent in SENT_S:
            time.sleep(max(0.0, begin + sent - now()))
            # Several at once, so that both desks get some.
            for _ in range(6):
                threads.append(threading.Thread(target=ask, args=(front, request_id())))
                threads[-1].start()
        if has_trouble():
            while stopped.process.poll() is None and now() < begin + GRACE_S:
                time.sleep(0.01)
            record("exit", vm=0, code=stopped.process.poll(), after=f"{now() - begin:.2f}")
            if stopped.process.poll() is None:
                stopped.process.kill()
        for thread in threads:
            thread.join()
        time.sleep(ARCHIVE_S)
        lines = (HERE / "record.txt").read_text().splitlines()
        lost = []
        for request, (vm, sent, ended, status, signature) in calls.items():
            is_late = sent > begin + EXCUSED_S
            in_time = ended - sent < CALL_S - 0.1
            is_own = status == 0 or (status not in (408, 421, 429, 503) and not signature)
            was_run = any(
                "server-runs" in line and line.endswith(f"request={request}")
                for line in lines
            )
            if vm is stopped and is_late and in_time and is_own and was_run:
                lost.append(request)
                print(
                    f"call {request}: sent {sent - begin:.2f} s after the SIGTERM, run by the "
                    f"archive, ended with {status or 'a closed connection'} after "
                    f"{ended - sent:.2f} s"
                )
        of_stopped = [c for c in calls.values() if c[0] is stopped]
        if not of_stopped:
            print("no call came from the server beside the stopped daemon")
            return 2
        print(f"{len(lost)} of {len(of_stopped)} calls taken by the stopped daemon were lost")
        return 1 if lost else 0
    finally:
        estate.end()


run(scenario)
