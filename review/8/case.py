"""Some clients write a long statement in pieces while requests of theirs are open on the same connection."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-2"))
from stand import *  # noqa: E402,F403

CLIENTS = 12
WAIT_MS, REPORT_WAIT_MS = 5000, 20000
STATEMENT_BYTES = 12000
PIECE_BYTES, PIECE_EVERY_S = 400, 0.025
GRACE_S = 0.5


async def one_client(record, number, port, results):
    client = await Client.connect(record, "client%d" % number, port)
    sent = []

    async def statement():
        """A report with a long list of accounts, the next message on the connection once no lookup is half written."""
        await asyncio.sleep(0.55)
        accounts = ", ".join("'%08d'" % account for account in range(STATEMENT_BYTES // 12))
        params = client.request_params(
            REPORT_WAIT_MS, "select a, b, c from sales_17.orders where account in (%s)" % accounts)
        frame_number = client.number()
        frame = client.frame(frame_number, "report", params)
        pieces = [frame]
        if trouble():
            pieces = [frame[at:at + PIECE_BYTES] for at in range(0, len(frame), PIECE_BYTES)]
        started = time.time()
        for piece in pieces:
            if client.ended_at is not None:
                client.add("the connection ended before the report %s was written" % params["id"])
                return
            client.writer.write(piece)
            if len(pieces) > 1:
                await asyncio.sleep(PIECE_EVERY_S)
        if client.ended_at is None:
            future = client.register(frame_number)
            client.add("report %d %s of %d bytes written in %.0f ms" % (
                frame_number, params["id"], len(frame), (time.time() - started) * 1000))
            sent.append((params["id"], time.time(), REPORT_WAIT_MS, future))

    # Messages must not be mixed: lookups first, then the long message, then lookups again.
    for _ in range(5):
        request, future = client.call("lookup", WAIT_MS)
        sent.append((request, time.time(), WAIT_MS, future))
        await asyncio.sleep(0.1)
    await statement()
    for _ in range(5):
        if client.ended_at is not None:
            break
        request, future = client.call("lookup", WAIT_MS)
        sent.append((request, time.time(), WAIT_MS, future))
        await asyncio.sleep(0.1)
    results.extend(sent)


async def play(record, ends):
    # Lookups of 1.8 s of work on one thread: some are still open when the long message is written.
    engines = [await Engine(record, "e%d" % number, work_s=1.8).start() for number in (1, 2)]
    listed = [instance(engine.name, engine.port) for engine in engines]
    names = await NameService.start(record, 1, listed)
    classes = [class_of("lookup", 3000, WAIT_MS), class_of("report", 5000, REPORT_WAIT_MS, worth=6.0, stretch=2.5)]
    gateway = Gateway(record, {
        "names": names.address, "known": known(1, listed), "settings": settings(classes, [1, 4]),
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 1024}})
    ends.append(gateway.clean)
    gateway.start()
    await gateway.until_fit()
    results = []
    await asyncio.gather(*(one_client(record, number, gateway.port, results) for number in range(CLIENTS)))
    lost = []
    for request, sent, wait_ms, future in results:
        left = sent + wait_ms / 1000 + GRACE_S - time.time()
        done, _ = await asyncio.wait([future], timeout=max(left, 0.01))
        if not done or future.exception() is not None:
            lost.append(request)
    record.add("case", "%d requests taken, %d without a final answer" % (len(results), len(lost)))
    if gateway.has_ended():
        return "the gateway has ended"
    return lost and "%d accepted requests got no final answer: %s" % (len(lost), " ".join(lost))


main(__file__, play)
