"""A class is closed by SIGHUP (docs/migration.md, step 5) while a client has lookups open."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-2"))
from stand import *  # noqa: E402,F403

LOOKUP_WAIT_MS, REPORT_WAIT_MS = 5000, 20000


async def play(record, ends):
    engine = await Engine(record, "e1", work_s=0.3).start()
    listed = [instance("e1", engine.port)]
    names = await NameService.start(record, 1, listed)
    lookup, report = class_of("lookup", 1000, 5000), class_of("report", 2000, 20000, worth=6.0, stretch=2.5)
    gateway = Gateway(record, {"names": names.address, "known": known(1, listed),
                               "settings": settings([lookup, report], [1, 4])})
    ends.append(gateway.clean)
    gateway.start()
    await gateway.until_fit()
    client = await Client.connect(record, "client", gateway.port)
    lookups, reports = [], []
    reload_at = time.time() + 1.2
    end = time.time() + 6
    step = 0
    # One connection, as a portal keeps it: a lookup every 50 ms, a report every 100 ms, some ten requests open.
    while time.time() < end and client.ended_at is None:
        request, future = client.call("lookup", LOOKUP_WAIT_MS)
        lookups.append((request, time.time(), client, future))
        if step % 2 == 0:
            request, future = client.call("report", REPORT_WAIT_MS)
            reports.append((request, time.time(), future))
        if reload_at and time.time() >= reload_at:
            reload_at = None
            if trouble():
                gateway.reload(settings=settings([lookup], [1]))
                await gateway.until_logged("configuration reloaded")
                record.add("case", "the new settings hold, without the class report")
        step += 1
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.1)
    await until_answered(lookups, {request: LOOKUP_WAIT_MS for request, _, _, _ in lookups})
    lost = lost_of(lookups)
    kinds = [kind_of(future.result()) for _, _, future in reports if future.done() and not future.exception()]
    record.add("case", "%d lookups, %d without a final answer; reports: %s" % (
        len(lookups), len(lost), {kind: kinds.count(kind) for kind in sorted(set(kinds))}))
    if gateway.has_ended():
        return "the gateway has ended"
    return lost and "%d accepted lookups got no final answer: %s" % (len(lost), " ".join(lost))


main(play)
