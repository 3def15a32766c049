"""A class is bound to a kind of engine while connections to an engine of another kind come up late."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-2"))
from stand import *  # noqa: E402,F403

SLACK_S = 0.05
CONNECT_MS = 1500


class LateListener:
    """A listening socket whose queue is full: connections come up when it is opened, at the next SYN of the system."""

    def __init__(self):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(0)
        self.port = self.socket.getsockname()[1]
        self.fillers = []
        while len(self.fillers) < 16:
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.settimeout(0.1)
            try:
                filler.connect(("127.0.0.1", self.port))
            except (socket.timeout, OSError):
                filler.close()
                return
            self.fillers.append(filler)
        raise NotRun("the queue of the listener cannot be filled")

    async def open(self, engine):
        self.socket.listen(128)
        await engine.start(self.socket)


async def play(record, ends):
    late = LateListener()
    small = Engine(record, "e1-c8")
    large = await Engine(record, "e2-c12").start()
    if not trouble():
        await late.open(small)
    listed = [instance("e1", late.port, kind="c8"), instance("e2", large.port, kind="c12")]
    names = await NameService.start(record, 1, listed)
    classes = [class_of("lookup", 1200, 6000), class_of("report", 4000, 20000, worth=4.0, stretch=2.5)]
    told = settings(classes, [1, 4], kinds=(("c12", 12), ("c8", 8)), connect_ms=CONNECT_MS, limits={"probes": False})
    manage = free_port()
    gateway = Gateway(record, {"names": names.address, "known": known(1, listed), "settings": told},
                      operator={"management": {"listen": "127.0.0.1:%d" % manage}})
    ends.append(gateway.clean)
    gateway.start()
    await gateway.until_fit()
    client = await Client.connect(record, "client", gateway.port)
    futures = []
    # Reports of many groups of tables: some have their home on e1.
    for group in range(12):
        futures.append(client.call("report", 15000, "select a, b, c from sales_%d.orders" % group)[1])
    await asyncio.sleep(0.15)
    record.add("operator", "ironstair set /settings/band[name=report]/kind [\"c12\"]")
    command = await asyncio.create_subprocess_exec(
        ironstair(), "set", "/settings/band[name=report]/kind", '["c12"]', "--at", "127.0.0.1:%d" % manage,
        stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
    output, _ = await asyncio.wait_for(command.communicate(), 20)
    done = time.time()
    record.add("operator", "%s (exit code %d)" % (output.decode().strip(), command.returncode))
    if command.returncode != 0:
        raise NotRun("the change was refused")
    if trouble():
        await late.open(small)
        record.add("e1-c8", "connections come up from now on")
    for group in range(12):
        futures.append(client.call("report", 15000, "select a, b, c from sales_%d.orders" % group)[1])
    await asyncio.wait(futures, timeout=16)
    wrong = [one for one in small.attempts if one.at > done + SLACK_S]
    record.add("case", "attempts at e1 of kind c8: %d, of these after the change: %d" % (len(small.attempts), len(wrong)))
    return wrong and "%d reports were sent to an engine of kind c8 up to %.0f ms after the change was done" % (
        len(wrong), (wrong[-1].at - done) * 1000)


main(__file__, play)
