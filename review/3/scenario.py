"""A change of the configuration after the store was silent for a while."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
sys.dont_write_bytecode = True

from standins import Caller, Deployment, document, has_trouble, now, request_id, route, run

# Bounds of the site.
CONTACT_S = 3.0
APPLY_S = 2.0
# How long the store is silent: the figure of the site's `platform_down`.
SILENT_S = 4.5
# From the end of the silence to the change; the core is stable again after CONTACT_S.
CALM_S = CONTACT_S + 0.5
# How long requests are sent after the change was acknowledged.
WATCH_S = 9.0
PAUSE_S = 0.05


def configuration(version, service, timeout):
    routes = {
        "moved": route("/moved/", "idempotent", service, timeout),
        "first": route("/first/", "idempotent", "first"),
        "second": route("/second/", "idempotent", "second"),
    }
    return document(version, routes, ["first", "second"])


def scenario():
    import json

    vms = [(service, zone) for zone in ("zone-a", "zone-b") for service in ("first", "second")]
    estate = Deployment(HERE, vms, configuration(3, "first", 5.0))
    record, store = estate.record, estate.store
    seen = []
    stop = threading.Event()

    def ask_forever(index, vm):
        while not stop.is_set():
            sent, request = now(), request_id()
            try:
                caller = Caller(vm.callers)
                record("caller-sends", request=request, vm=index, target="/moved/x")
                answer = caller.ask("/moved/x", request)
                caller.close()
            except OSError:
                answer = None
            status = 0 if answer is None else answer.status
            service = "-" if answer is None else answer.signature.split(".")[0] or "-"
            record("caller-got", request=request, status=status, service=service)
            seen.append((sent, index, status, service))
            time.sleep(PAUSE_S)

    try:
        if not estate.start():
            return 2
        for target in ("/first/warm", "/second/warm", "/moved/warm"):
            if not estate.wait_served(target):
                return 2
        for index, vm in enumerate(estate.vms):
            threading.Thread(target=ask_forever, args=(index, vm), daemon=True).start()
        time.sleep(3.0)
        # A change that moves nothing; it is in force everywhere a moment later.
        store.put("op", "config", json.dumps(configuration(9, "first", 4.0)))
        time.sleep(0.2)
        if has_trouble():
            store.go_silent()
        time.sleep(SILENT_S)
        if has_trouble():
            store.come_back()
        time.sleep(CALM_S)
        store.put("op", "config", json.dumps(configuration(14, "second", 4.0)))
        acknowledged = now()
        record("acknowledged", version=14)
        time.sleep(WATCH_S)
        stop.set()
        time.sleep(0.5)
        late = [entry for entry in seen if entry[0] > acknowledged + APPLY_S]
        old = [entry for entry in late if entry[3] == "first"]
        new = [entry for entry in late if entry[3] == "second"]
        if not new and not old:
            return 2
        by_vm = [sum(entry[1] == index for entry in old) for index in range(len(vms))]
        last = max((entry[0] for entry in old), default=acknowledged) - acknowledged
        print(
            f"{len(old)} of {len(late)} requests sent later than {APPLY_S} s after the "
            f"acknowledgement were run by the old service (by VM: {by_vm}), the last of "
            f"them sent {last:.1f} s after it"
        )
        return 1 if old else 0
    finally:
        stop.set()
        estate.end()


run(scenario)
