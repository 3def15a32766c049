"""A gateway with a folder for its next process is killed and started again while an engine drains."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-2"))
from stand import *  # noqa: E402,F403

DRAIN_GRACE_S = 2.0
SLACK_S = 0.05
FIRST_SERIAL = 1


async def send_lookups(client, until):
    futures = []
    while time.time() < until:
        # Many groups of tables, so that every engine is a home of some.
        statement = "select a, b, c from sales_%d.orders" % (len(futures) % 40)
        futures.append(client.call("lookup", 5000, statement=statement)[1])
        await asyncio.sleep(0.025)
    await asyncio.wait(futures, timeout=6)


async def play(record, ends):
    engines = [await Engine(record, "e%d" % number).start() for number in (1, 2, 3)]

    def listed(**states):
        return [instance(engine.name, engine.port, state=states.get(engine.name, "ready")) for engine in engines]

    names = await NameService.start(record, FIRST_SERIAL, listed())
    gateway = Gateway(record, {"names": names.address, "known": known(FIRST_SERIAL, listed()),
                               "settings": settings([class_of("lookup", 1000, 5000)], [1])}, operator={})
    with open(gateway.operator_path, "w", encoding="utf-8") as file:
        json.dump({"recovery": {"state": os.path.join(gateway.folder, "state")}}, file)
    ends.append(gateway.clean)
    gateway.start()
    await gateway.until_fit()

    # A first life: e3 is replaced a few times, as in a release, so that the list has had some events.
    client = await Client.connect(record, "client", gateway.port, quiet=True)
    life = asyncio.ensure_future(send_lookups(client, time.time() + 3.5))
    for serial in range(2, 8):
        await asyncio.sleep(0.45)
        names.set(serial, listed(e3="draining" if serial % 2 == 0 else "ready"))
    await life
    client.close()

    if trouble():
        gateway.kill()
        # The platform starts it again and tells it the list of this moment. Events are numbered from 1 at each start.
        names.told.clear()
        serial = FIRST_SERIAL
        names.set(serial, listed())
        gateway.config["known"] = known(serial, listed())
        gateway.config["seed"] = os.urandom(8).hex()
        await asyncio.sleep(0.5)
        gateway.start()
        await gateway.until_fit()
    else:
        serial = names.serial
    client = await Client.connect(record, "client", gateway.port, quiet=True)
    life = asyncio.ensure_future(send_lookups(client, time.time() + 7))
    await asyncio.sleep(1.0)
    names.set(serial + 1, listed(e1="draining"))
    while serial + 1 not in names.told:
        await asyncio.sleep(0.01)
    told = names.told[serial + 1]
    await life
    late = [attempt for attempt in engines[0].attempts if attempt.at > told + DRAIN_GRACE_S + SLACK_S]
    after = {engine.name: sum(attempt.at > told for attempt in engine.attempts) for engine in engines}
    record.add("case", "told that e1 drains at %.0f ms; attempts since then: %s; at e1 after %.2f s: %d" % (
        (told - record.start) * 1000, after, DRAIN_GRACE_S + SLACK_S, len(late)))
    if gateway.has_ended():
        return "the gateway has ended"
    return late and "%d attempts were sent to the draining engine e1 up to %.1f s after the word, allowed are %.2f s" % (
        len(late), late[-1].at - told, DRAIN_GRACE_S + SLACK_S)


main(__file__, play)
