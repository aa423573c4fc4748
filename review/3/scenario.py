"""Two coordinators of one workspace's rate while the coordinator is cut off."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
sys.dont_write_bytecode = True

from standins import Caller, Deployment, Proxy, Server, document, has_trouble, now, request_id, route, run

# The limit of the workspace, and how far the site lets it be exceeded.
RATE, BURST = 60.0, 60.0
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20.0
BOUND = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
# How long the machine is cut off: the figure of the site's `node_cut` with "reset".
CUT_S = 8.0
KEY = "key-of-the-workspace"
# Callers on the two VMs, and their pause after an answer: up to 240 and 70 requests a
# second, each more than the limit on its own.
CALLERS_CUT, CALLERS_OTHER, PAUSE_S = 24, 7, 0.1
# How long these callers send requests before the cut. Other VMs have none meanwhile.
SETTLE_S = 16.0


def scenario():
    configuration = document(
        7, {"read": route("/read/", "idempotent", "desk", 1.0)}, ["desk"]
    )
    configuration["tenants"] = {
        "w-1": {"name": "w-1", "apiKeys": [KEY], "priority": 0, "ratePerS": RATE, "burst": BURST}
    }
    runs, sent_at = [], {}

    def send_answer(server, connection, line, headers):
        runs.append((now(), server.address[0], headers.get("x-request-id")))
        return Server.send_short(server, connection, line, headers)

    vms = [("desk", zone) for zone in ("zone-a", "zone-b", "zone-c") for _ in range(2)]
    estate = Deployment(
        HERE,
        vms,
        configuration,
        answer=send_answer,
        proxy=True,
        hosting="  rates: {window: 5s, over: 0.1, slack: 20}\n",
    )
    record = estate.record
    stop = threading.Event()

    def press(vm, until):
        caller = None
        while not until.is_set():
            request = request_id()
            sent_at[request] = now()
            try:
                caller = caller or Caller(vm.callers)
                record("caller-sends", request=request, vm=vm.ip)
                answer = caller.ask("/read/x", request, deadline_ms=2000, key=KEY)
            except OSError:
                answer = None
            record("caller-got", request=request, status=0 if answer is None else answer.status)
            if answer is None:
                caller = None
            time.sleep(PAUSE_S)

    def press_on(chosen, until, callers):
        for vm in chosen:
            for _ in range(callers):
                threading.Thread(target=press, args=(vm, until), daemon=True).start()

    try:
        if not estate.start() or not estate.wait_served("/read/warm", key=KEY):
            return 2
        # The daemon that the others ask for credit coordinates the workspace.
        Proxy.queries.clear()
        first = threading.Event()
        press_on(estate.vms, first, 1)
        time.sleep(4.0)
        first.set()
        if not Proxy.queries:
            print("no daemon asked another for credit")
            return 2
        asked = max(Proxy.queries, key=Proxy.queries.get)
        cut = next(vm for vm in estate.vms if vm.ip == asked)
        other = next(vm for vm in estate.vms if vm.zone != cut.zone)
        record("coordinator", vm=cut.ip)
        press_on([cut], stop, CALLERS_CUT)
        press_on([other], stop, CALLERS_OTHER)
        time.sleep(SETTLE_S)
        begin = now()
        if has_trouble():
            record("cut", vm=cut.ip)
            Proxy.cut_off(cut.ip)
        time.sleep(CUT_S)
        if has_trouble():
            record("healed", vm=cut.ip)
            Proxy.heal(cut.ip)
        time.sleep(3.0)
        stop.set()
        time.sleep(0.5)
        # A request counts once, in windows in which it is both sent and arrives.
        arrivals = {}
        for at, ip, request in sorted(runs):
            arrivals.setdefault(request, (at, ip))
        times = sorted((at, sent_at.get(request, at), ip) for request, (at, ip) in arrivals.items())
        most, most_at = 0, 0.0
        for end, _, _ in times:
            count = sum(sent >= end - WINDOW_S and at <= end for at, sent, _ in times)
            if count > most:
                most, most_at = count, end
        for second in range(-3, 13):
            inside = [one for one in times if begin + second <= one[0] < begin + second + 1]
            own = sum(ip == cut.ip for _, _, ip in inside)
            print(f"second {second:3}: {len(inside)} run, {own} of them on the VM that is cut off")
        print(
            f"at most {most} requests run in {WINDOW_S:.0f} s, which end {most_at - begin:.1f} s after the "
            f"beginning of the cut; allowed are {BOUND:.0f}"
        )
        return 1 if most > BOUND else 0
    finally:
        stop.set()
        estate.end()


run(scenario)
