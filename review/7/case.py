"""Case 7: a rolling restart. An owner that stops begins a request and breaks it off as it exits."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import stand_ins_2 as stand_ins  # noqa: E402

GRACE_S = 6.0  # grace_period_s of the settings
GAP_S = 1.3  # between two pairs of machines of the rolling restart
LONG_S = 2.6  # work of the long requests
WORK_S = 0.8  # work of the others
SENT_AFTER_S = 1.75  # the long requests are sent, after the SIGTERM of the machine that takes them
DEADLINE_MS = 4000


class WorkingUpstream(stand_ins.Upstream):
    """Works for some time; drops a request when its connection closes."""

    async def answer(self, writer, request, line, fields, body):
        work_s = LONG_S if request.startswith("long") else WORK_S
        begun = self.record.now()
        while self.record.now() - begun < work_s:
            await asyncio.sleep(0.02)
            if writer.transport.is_closing() or self.reader_of(writer).at_eof():
                self.record.note(f"cut {request} at {self.id} after "
                                 f"{self.record.now() - begun:.3f} s of work")
                return False
        writer.write(self.sound(request))
        return True

    def reader_of(self, writer):
        return writer.transport.get_protocol()._stream_reader


async def restart(record, deployment, daemon, begun):
    """What the platform does: SIGTERM, SIGKILL after the grace time, and a new start."""
    begun[daemon] = record.now()
    daemon.send_signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(daemon.process.wait(), GRACE_S)
    except asyncio.TimeoutError:
        daemon.send_signal(signal.SIGKILL)
        await daemon.process.wait()
    record.note(f"{daemon.name} ended {record.now() - begun[daemon]:.3f} s after its SIGTERM")
    await asyncio.sleep(0.5)
    await daemon.start(deployment.zones, False)


async def send_steadily(record, address, name, ends):
    """A client that sends one request after the other, on new connections."""
    await asyncio.sleep(int(name[-1]) * WORK_S / 8)
    for number in range(1000):
        if ends.is_set():
            return
        client = stand_ins.Client(record, address)
        await client.send("GET", "shop.example", "/search/1", f"{name}-{number}", DEADLINE_MS)
        client.close()


async def case(record, trouble):
    deployment = stand_ins.Deployment(record)
    broken = []
    try:
        upstreams = [WorkingUpstream(record, "", service, 7)
                     for service in ["finder"] * 2 + ["orders"] * 7]
        config = stand_ins.configuration(
            3, {"r-search": stand_ins.route("finder", "/search/", "safe"),
                "r-order": stand_ins.route("orders", "/order/", "unsafe")},
            ["finder", "orders"])
        await deployment.begin(upstreams, config)
        daemons = deployment.daemons
        pairs = [daemons[0:2], daemons[2:4]]
        entry, other = daemons[2], daemons[8]
        answer = await stand_ins.Client(record, entry.listen["outbound"]).send(
            "GET", "shop.example", "/search/1", "check-1", DEADLINE_MS)
        if answer.status != 200:
            raise stand_ins.Failure("the quiet deployment doesn't serve")
        ends = asyncio.Event()
        steady = [asyncio.ensure_future(send_steadily(record, other.listen["outbound"],
                                                      f"steady{number}", ends))
                  for number in range(11)]
        await asyncio.sleep(2)
        begun = {}
        restarts = []
        for pair in pairs:
            if trouble:
                restarts += [asyncio.ensure_future(restart(record, deployment, daemon, begun))
                             for daemon in pair]
            if entry not in pair:
                await asyncio.sleep(GAP_S)
        # The clients of the entry still have work for it: it takes two questions, one a second,
        # without a 200 until they turn away.
        await asyncio.sleep(SENT_AFTER_S)
        clients = [stand_ins.Client(record, entry.listen["outbound"]) for _ in range(4)]
        sent_at = record.now()
        answers = await asyncio.gather(*[
            each.send("GET", "shop.example", "/search/1", f"long-{number}", DEADLINE_MS)
            for number, each in enumerate(clients)])
        for number, answer in enumerate(answers):
            ended_at = sent_at + answer.seconds
            ran = any(f"long-{number}" in each.runs for each in upstreams)
            is_own = "x-response-stamp" not in answer.fields
            # The excuses: the deadline, and the last sixth of the grace time of the machine that
            # took the request.
            since = ended_at - begun.get(entry, ended_at)
            is_excused = answer.seconds * 1000 >= DEADLINE_MS - 50 or since >= GRACE_S * 5 / 6
            if ran and is_own and not is_excused and answer.status not in (429, 503):
                broken.append(f"LOST, long-{number}: after the SIGTERM of its machine it was given "
                              f"up after {answer.seconds:.3f} s with status {answer.status}, while "
                              "its upstream was at work")
        ends.set()
        await asyncio.gather(*restarts, *steady)
    finally:
        await deployment.end()
    return broken


sys.exit(stand_ins.run_case(case, FOLDER))
