"""An upstream leaves while the store is away; its departure is acknowledged, and then all processes
are killed at the same moment. See claim.txt."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from stand_ins_3 import *

DRAIN_MS, CONTACT_S = 2000, 3
STORE_AWAY_S = 4.5  # platform_down: for_s 4.5
BEAT_LATE_S = 4.0  # "A heartbeat may arrive seconds late"
STAYS_S = 15.0  # scale_in, how "stay": for_s 15
case = Case(__file__)
record = case.record


def body():
    store = Store(NET + ".1", record)
    plan = config(7, {"r1": route("shop.example", "/order/", "unsafe", "orders", timeout_ms=4000,
                                  goal_ms=2500)}, ["orders", "finder"])
    store.put("op", "config", plan)
    servers = [case.machine(store, "orders", zone="ash-a") for _ in range(5)]
    entries = [case.machine(store, "finder", zone="ash-b") for _ in range(2)]
    for m in case.machines:
        m.start()
    orders = [Upstream(m, "orders", "i-" + m.name, record, run, slots=3) for m in servers]
    for m in entries:
        Upstream(m, "finder", "i-" + m.name, record, run)
    for m in case.machines:
        if not m.wait_ready():
            return 2
    time.sleep(CONTACT_S + 1)

    stop = threading.Event()

    def load(machine):
        client = Client(machine, record)
        while not stop.is_set():
            try:
                client.send("POST", "shop.example", "/order/1", 4000, b"one belt")
            except OSError:
                client.close()
                time.sleep(0.2)
            time.sleep(0.05)

    for m in entries:
        for _ in range(8):
            threading.Thread(target=load, args=(m,), daemon=True).start()
    time.sleep(2)

    leaving = orders[0]
    leaving.alive = False  # it sends no heartbeat from here on
    leaving.sequence += 1
    held_up = json.dumps({"address": leaving.machine.app_addr, "born": leaving.born,
                          "info": {"service": "orders", "version": "v1", "zone": "ash-a",
                                   "slots": leaving.slots},
                          "status": {"state": "ready", "sequence": leaving.sequence,
                                     "cold_left_ms": 0}})
    sent_at = now()
    record("upstream", leaving.uid, "sends a heartbeat, sequence", leaving.sequence,
           "- it is held up for", BEAT_LATE_S, "s")
    if case.trouble:
        away(store, True)
    away_at = now()
    time.sleep(0.3)
    status = leaving.leave()
    left_at = now()
    if status != 200:
        record("the departure was not acknowledged")
        return 0
    if case.trouble:
        time.sleep(0.05)
        record("all processes are killed")
        for m in case.machines:
            m.process.kill()
        for m in case.machines:
            m.process.wait()
        time.sleep(0.5)
        for m in case.machines:
            m.start()
        time.sleep(max(0.0, sent_at + BEAT_LATE_S - now()))
        record("the heartbeat arrives,", "answered with", leaving.call_control("PUT", held_up))
        time.sleep(max(0.0, away_at + STORE_AWAY_S - now()))
        away(store, False)
    else:
        time.sleep(max(0.0, sent_at + BEAT_LATE_S - now()))
        record("the heartbeat arrives,", "answered with", leaving.call_control("PUT", held_up))
        time.sleep(max(0.0, away_at + STORE_AWAY_S - now()))
    # From here on all machines are in touch.
    touch_at = now() + CONTACT_S + 0.2
    time.sleep(max(0.0, left_at + STAYS_S - now()))
    leaving.server.stop()
    record("upstream", leaving.uid, "exits")
    stop.set()
    late = [rid for at, rid, _ in leaving.ran if at > max(touch_at, left_at + DRAIN_MS / 1000)]
    record("orders that reached", leaving.uid, "later than drain_ms after the acknowledgement, and",
           "when all machines had been in touch:", len(late))
    return 1 if late else 0


def away(store, is_away):
    record("the store is away" if is_away else "the store is back")
    store.down = is_away
    with store.changed:
        store.changed.notify_all()


def run(upstream, c, rid, method, target, fields, body):
    time.sleep(0.64)
    answer(c, 200, upstream.stamp(rid), b"placed")


case.main(body)
