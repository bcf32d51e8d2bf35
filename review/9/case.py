"""Case 9: a departure is acknowledged, but lost with the process. The upstream gets work again."""

import asyncio
import json
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import stand_ins_2 as stand_ins  # noqa: E402

DRAIN_S = 2.0  # drain_ms
CONTACT_S = 3.0  # contact_ms
OUTAGE_S = 4.5  # of the store, for one of the three machines
KILLED_AFTER_S = 0.5  # after the acknowledgement
LATE_S = 3.0  # how late the last heartbeat arrives that was sent before the departure
SERVES_S = 14.0  # the upstream exits so long after its departure was acknowledged
CLIENTS = 8


class StoreOfOne(stand_ins.HttpServer):
    """The way of one machine to the store; it can be silent."""

    def __init__(self, store):
        self.store = store
        self.is_silent = False

    async def handle(self, method, target, fields, body):
        if self.is_silent:
            # The call gets no answer, and nothing is done.
            while self.is_silent:
                await asyncio.sleep(0.05)
            return None
        data = await self.store.handle(method, target, fields, body)
        return None if self.is_silent else data


class LeavingUpstream(stand_ins.Upstream):
    """One that never reports `draining`: it sends DELETE first and goes on serving."""

    async def answer(self, writer, request, line, fields, body):
        await asyncio.sleep(0.2)
        writer.write(self.sound(request))
        return True

    def heartbeat(self, zone):
        self.sequence += 1
        return json.dumps({
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": zone, "slots": self.slots},
            "status": {"state": "ready", "sequence": self.sequence, "cold_left_ms": 0}}).encode()


async def case(record, trouble):
    deployment = stand_ins.Deployment(record)
    broken = []
    try:
        upstreams = [LeavingUpstream(record, "", "orders", 2) for _ in range(3)]
        config = stand_ins.configuration(
            3, {"r-order": stand_ins.route("orders", "/order/", "unsafe")}, ["orders"])
        way = StoreOfOne(deployment.store)
        await way.listen(f"{deployment.network}.2")
        deployment.store_of = {10: way.address}
        await deployment.begin(upstreams, config)
        daemon, entry = deployment.daemons[0], deployment.daemons[1]
        upstream = upstreams[0]
        ends = asyncio.Event()
        lost = []

        async def send_steadily(name):
            client = stand_ins.Client(record, entry.listen["outbound"])
            number = 0
            while not ends.is_set():
                number += 1
                request = f"order-{name}-{number}"
                answer = await client.send("POST", "shop.example", "/order/1", request, 4000, b"x")
                if answer.status != 200 and request in upstream.runs:
                    lost.append(f"{request} ({answer.status})")
                await asyncio.sleep(0.05)

        clients = [asyncio.ensure_future(send_steadily(number)) for number in range(CLIENTS)]
        await asyncio.sleep(3)
        if trouble:
            record.note(f"the store is silent for {daemon.name}")
            way.is_silent = True
        await asyncio.sleep(1)
        # The last heartbeat before the departure is delayed on its way.
        late = upstream.heartbeat(daemon.zone)
        for task in upstream.tasks:
            task.cancel()
        record.note(f"{upstream.id} sends DELETE")
        is_acknowledged = await upstream.call_daemon(daemon.listen["control"], "DELETE")
        left_at = record.now()
        record.note(f"acknowledged: {is_acknowledged}")
        if not is_acknowledged:
            raise stand_ins.Failure("the departure was not acknowledged")
        if trouble:
            await asyncio.sleep(KILLED_AFTER_S)
            daemon.send_signal(signal.SIGKILL)
            await daemon.process.wait()
            await asyncio.sleep(0.5)
            await daemon.start(deployment.zones, False)
        await asyncio.sleep(max(0, left_at + LATE_S - record.now()))
        record.note("the late heartbeat arrives")
        await upstream.call_daemon(daemon.listen["control"], "PUT", late)
        await asyncio.sleep(max(0, left_at + OUTAGE_S - 1.6 - record.now()))
        if trouble:
            record.note(f"the store answers {daemon.name} again")
            way.is_silent = False
        # From then on all machines are in touch.
        await asyncio.sleep(CONTACT_S + 1)
        in_touch_at = record.now()
        before = dict(upstream.runs)
        await asyncio.sleep(max(0, left_at + SERVES_S - record.now()))
        record.note(f"{upstream.id} exits")
        upstream.stop()
        await asyncio.sleep(1)
        ends.set()
        await asyncio.gather(*clients)
        late_runs = [each for each in upstream.runs if each not in before]
        record.note(f"{upstream.id} was told at {left_at:.3f} s that its departure is known, and "
                    f"ran {len(late_runs)} requests from {in_touch_at:.3f} s on")
        record.note(f"lost with its exit: {', '.join(lost) or 'none'}")
        if late_runs and in_touch_at > left_at + DRAIN_S:
            broken.append(f"DRAIN: {len(late_runs)} requests reached {upstream.id} more than "
                          f"{in_touch_at - left_at:.1f} s after its departure was acknowledged")
        if sum(sum(each.runs.values()) for each in upstreams) < 40:
            raise stand_ins.Failure("too few requests ran")
    finally:
        await deployment.end()
    return broken


sys.exit(stand_ins.run_case(case, FOLDER))
