"""Some clients write a long statement in pieces while requests of theirs are open on the same connection."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-2"))
from stand import *  # noqa: E402,F403

CLIENTS = 12
WAIT_MS = 20000
STATEMENT_BYTES = 12000
PIECE_BYTES, PIECE_EVERY_S = 400, 0.025


async def one_client(record, number, port, sent, wait_ms_of):
    client = await Client.connect(record, "client%d" % number, port)

    async def short_reports():
        for _ in range(5):
            if client.ended_at is not None:
                return
            request, future = client.call("report", WAIT_MS)
            sent.append((request, time.time(), client, future))
            wait_ms_of[request] = WAIT_MS
            await asyncio.sleep(0.1)

    async def long_report():
        """A report with a long list of accounts."""
        accounts = ", ".join("'%08d'" % account for account in range(STATEMENT_BYTES // 12))
        params = client.request_params(
            WAIT_MS, "select a, b, c from sales_17.orders where account in (%s)" % accounts)
        frame_number = client.number()
        frame = client.frame(frame_number, "report", params)
        pieces = [frame]
        if trouble():
            pieces = [frame[at:at + PIECE_BYTES] for at in range(0, len(frame), PIECE_BYTES)]
        started = time.time()
        for position, piece in enumerate(pieces):
            if client.ended_at is not None:
                # Not taken: its last byte was not written.
                client.add("the connection ended before the report %s was written" % params["id"])
                return
            client.writer.write(piece)
            if position + 1 < len(pieces):
                await asyncio.sleep(PIECE_EVERY_S)
        if client.ended_at is None:
            sent.append((params["id"], time.time(), client, client.register(frame_number)))
            wait_ms_of[params["id"]] = WAIT_MS
            client.add("report %d %s of %d bytes written in %.0f ms" % (
                frame_number, params["id"], len(frame), (time.time() - started) * 1000))

    await short_reports()
    await long_report()
    await short_reports()


async def play(record, ends):
    # Reports that take 1.8 s: some are still open when the long message is written.
    engines = [await Engine(record, "e%d" % number, work_s=1.8).start() for number in (1, 2)]
    listed = [instance(engine.name, engine.port) for engine in engines]
    names = await NameService.start(record, 1, listed)
    classes = [class_of("lookup", 1000, 5000), class_of("report", 2000, 20000, worth=6.0, stretch=2.5)]
    gateway = Gateway(record, {
        "names": names.address, "known": known(1, listed), "settings": settings(classes, [1, 4]),
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 1024}})
    ends.append(gateway.clean)
    gateway.start()
    await gateway.until_fit()
    sent, wait_ms_of = [], {}
    await asyncio.gather(*(
        one_client(record, number, gateway.port, sent, wait_ms_of) for number in range(CLIENTS)))
    await until_answered(sent, wait_ms_of)
    lost = lost_of(sent)
    answers = [kind_of(future.result()) for _, _, _, future in sent if future.done() and not future.exception()]
    record.add("case", "%d requests taken, %d without a final answer; answers: %s" % (
        len(sent), len(lost), {kind: answers.count(kind) for kind in sorted(set(answers))}))
    if gateway.has_ended():
        return "the gateway has ended"
    return lost and "%d accepted requests got no final answer: %s" % (len(lost), " ".join(lost))


main(play)
