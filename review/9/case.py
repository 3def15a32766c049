"""Discovery is slow: each answer of the name service comes two seconds after its query; an engine drains meanwhile."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-2"))
from stand import *  # noqa: E402,F403

ANSWER_DELAY_S = 2.0
# However the pages are read, the drain counts as told 7 s after it happened; then come the grace and the slack.
TOLD_AT_THE_LATEST_S, DRAIN_GRACE_S, SLACK_S = 7.0, 2.0, 0.05
WATCHED_S = 15.0


class SlowNameService(NameService):
    """Answers each query, in their order, with the list of the moment in which the answer is sent."""

    delay_s = 0.0

    def datagram_received(self, data, sender):
        asyncio.get_running_loop().call_later(
            self.delay_s, lambda: NameService.datagram_received(self, data, sender))


async def play(record, ends):
    engines = [await Engine(record, "e%d" % number).start() for number in (1, 2, 3)]

    def listed(**states):
        return [instance(engine.name, engine.port, state=states.get(engine.name, "ready")) for engine in engines]

    names = await SlowNameService.start(record, 1, listed())
    lookup = class_of("lookup", 1000, 5000)
    gateway = Gateway(record, {"names": names.address, "known": known(1, listed()),
                               "settings": settings([lookup], [1])})
    ends.append(gateway.clean)
    gateway.start()
    await gateway.until_fit()
    if trouble():
        names.delay_s = ANSWER_DELAY_S
        record.add("names", "answers %.1f s after each query from now on" % ANSWER_DELAY_S)
    client = await Client.connect(record, "client", gateway.port)
    end = time.time() + 3 + WATCHED_S

    async def lookups():
        number = 0
        while time.time() < end:
            client.call("lookup", 5000, "select a, b, c from sales_%d.orders" % (number % 40))
            number += 1
            await asyncio.sleep(0.025)

    task = asyncio.ensure_future(lookups())
    await asyncio.sleep(3)
    names.set(2, listed(e1="draining"))
    happened = time.time()
    await task
    limit = happened + TOLD_AT_THE_LATEST_S + DRAIN_GRACE_S + SLACK_S
    late = [attempt for attempt in engines[0].attempts if attempt.at > limit]
    last = max((attempt.at - happened for attempt in engines[0].attempts), default=0.0)
    record.add("case", "an answer with the drain was first sent %.2f s after it; last attempt at e1 %.2f s after it; "
               "%d attempts later than %.2f s" % (
                   names.told.get(2, 0.0) - happened, last, len(late), limit - happened))
    if gateway.has_ended():
        return "the gateway has ended"
    return late and "%d attempts were sent to the draining engine e1, up to %.1f s after it began to drain" % (
        len(late), last)


main(play)
