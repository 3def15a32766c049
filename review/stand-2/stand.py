"""Stand-ins and tools of the second review: a gateway process, engines, a name service, clients, a record.

Only the standard library is used. Every address is on the loopback interface, every port is a free one, and every
process that is started here is ended here.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
HELD, BROKEN, NOT_RUN = 0, 1, 2
REJECTED = -32014
# After a request's time, until when its final answer counts; and how long before a close a request may cross it.
GRACE_S, CROSSING_S = 0.5, 0.05
ROWS = "a\tb\tc\n"


def trouble():
    """Whether the disruption takes place; with TROUBLE=0 it does not."""
    return os.environ.get("TROUBLE", "1") != "0"


class NotRun(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, line by line, in the file that run.sh names: record.txt of the case's folder."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.time()

    def add(self, who, text):
        self.file.write("%9.1f ms  %-10s %s\n" % ((time.time() - self.start) * 1000, who, text))
        self.file.flush()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def new_id():
    return os.urandom(8).hex()


def deploy_command(name):
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(r'^%s\s*=\s*"([^"]*)"' % name, file.read(), re.M)
    if not found:
        raise NotRun("deploy/balancer.toml has no line " + name)
    return found.group(1)


# --- settings -------------------------------------------------------------------------------------------------------


def class_of(name, slo_ms, give_up_ms, worth=1.0, semantics="pure", stretch=1.5, **more):
    return dict(
        {"name": name, "slo_ns": slo_ms * 1e6, "give_up_ns": give_up_ms * 1e6, "aim_stretch": stretch,
         "semantics": semantics, "worth": worth}, **more)


def settings(classes, threads, kinds=(("std-16", 16),), zones=("room-a",), fleet_size=1, connect_ms=250,
             guarantees=None, limits=None):
    """Settings of a small deployment, with the figures of laval-campus where it has any."""
    told = {
        "classes": classes,
        "fleet_size": fleet_size,
        "machine_types": [name for name, _ in kinds],
        "dcs": list(zones),
        "registry_mode": "automatic",
        "resolution_ns": 5e6,
        "callers": {"marks_retry": True},
        "family_info": {"size_cores": [cores for _, cores in kinds], "ram_of_kind_mb": [32768.0 for _ in kinds],
                        "threads_by_class": threads, "lanes_count": True, "when_short": "line_up"},
        "guarantees": {"cold_from": 0.34, "warm_after_ns": 15e9, "overload_factor": 4.0, "fall_ns": 1e9,
                       "drain_grace_ns": 2e9},
        "report": {"fields": ["concurrent", "load_share"], "how": "pull"},
        "policy_limits": {"max_attempts": 6, "may_cancel": True, "probes": True, "retry_after": False,
                          "connect_timeout_ns": connect_ms * 1e6, "keepalive_ns": 30e9, "multiplex": 32},
    }
    told["guarantees"].update(guarantees or {})
    told["policy_limits"].update(limits or {})
    return told


def instance(name, port, zone="room-a", kind="std-16", cell=0, state="ready", started=0):
    return {"instanceId": name, "hostPort": "127.0.0.1:%d" % port, "zone": zone, "machineType": kind, "cell": cell,
            "lifecycle": state, "weight": 4, "startedAtMs": started}


def known(rev, instances):
    return {"rev": rev, "notices": [{"rev": rev, "pool": {"generation": rev, "reset": True, "instances": instances}}]}


# --- a gateway ------------------------------------------------------------------------------------------------------


class Gateway:
    """One gateway, started with the `run` command of the deploy file."""

    def __init__(self, record, config, name="n0"):
        self.record = record
        self.name = name
        self.folder = tempfile.mkdtemp(prefix="ironstair-review-")
        self.port = free_port()
        self.config = dict({"name": name, "listen": "127.0.0.1:%d" % self.port, "seed": os.urandom(8).hex(),
                            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}}, **config)
        self.config_path = os.path.join(self.folder, "config.json")
        self.process = None
        self.log_path = os.path.join(self.folder, "log.txt")

    def write_config(self):
        with open(self.config_path + ".new", "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.replace(self.config_path + ".new", self.config_path)

    def start(self):
        self.write_config()
        command = deploy_command("run")
        scratch = os.path.join(self.folder, "tmp")
        os.makedirs(scratch, exist_ok=True)
        environment = dict(os.environ, ROUTER_NAME=self.name, ROUTER_LISTEN=self.config["listen"],
                           ROUTER_CONFIG=self.config_path, TMPDIR=scratch)
        log = open(self.log_path, "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log)
        log.close()
        self.record.add(self.name, "started")

    def log(self):
        try:
            with open(self.log_path, encoding="utf-8", errors="replace") as file:
                return file.read()
        except FileNotFoundError:
            return ""

    async def until_logged(self, text, times=1, within=10.0):
        end = time.time() + within
        while self.log().count(text) < times:
            if time.time() > end:
                raise NotRun("the gateway did not log %r" % text)
            await asyncio.sleep(0.005)
        return time.time()

    async def until_fit(self, within=30.0):
        """As the front does: until the method `check` is answered with "fit":true."""
        end = time.time() + within
        while time.time() < end:
            try:
                client = await Client.connect(self.record, "front", self.port, quiet=True)
                answer = await asyncio.wait_for(client.call_raw("check", {}), 1.0)
                client.close()
                if answer.get("result", {}).get("fit") is True:
                    self.record.add("front", self.name + " is fit")
                    return
            except (OSError, asyncio.TimeoutError, Lost):
                pass
            await asyncio.sleep(0.05)
        raise NotRun("the gateway did not become fit: " + self.log()[-2000:])

    def signal(self, number):
        self.record.add(self.name, "gets " + signal.Signals(number).name)
        self.process.send_signal(number)

    def reload(self, **changes):
        """Replaces the configuration file and sends SIGHUP."""
        self.config.update(changes)
        self.write_config()
        self.signal(signal.SIGHUP)

    def has_ended(self):
        return self.process.poll() is not None

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
            self.record.add(self.name, "killed")

    def clean(self):
        self.kill()
        self.record.file.write("\n--- log of %s\n%s\n" % (self.name, self.log()))
        shutil.rmtree(self.folder, ignore_errors=True)


# --- the name service -----------------------------------------------------------------------------------------------


class NameService(asyncio.DatagramProtocol):
    """Answers SRV queries over UDP with the whole list; the serial of the SOA record is the number of the last event."""

    def __init__(self, record, serial, instances):
        self.record = record
        self.serial = serial
        self.instances = instances
        self.told = {}
        self.port = None
        self.answers = True

    @classmethod
    async def start(cls, record, serial, instances, port=0):
        loop = asyncio.get_running_loop()
        transport, service = await loop.create_datagram_endpoint(
            lambda: cls(record, serial, instances), local_addr=("127.0.0.1", port))
        service.port = transport.get_extra_info("sockname")[1]
        service.transport = transport
        return service

    @property
    def address(self):
        return "127.0.0.1:%d" % self.port

    def set(self, serial, instances):
        self.serial, self.instances = serial, instances
        self.record.add("names", "serial %d: %s" % (serial, " ".join(
            "%s=%s" % (one["instanceId"], one["lifecycle"]) for one in instances)))

    def datagram_received(self, data, sender):
        if not self.answers:
            return
        self.transport.sendto(self.answer(data), sender)
        if self.serial not in self.told:
            self.told[self.serial] = time.time()
            self.record.add("names", "an answer with serial %d is sent" % self.serial)

    @staticmethod
    def name(text):
        out = b""
        for label in text.split("."):
            out += bytes([len(label)]) + label.encode()
        return out + b"\0"

    def record_of(self, owner, kind, data):
        return self.name(owner) + struct.pack("!HHIH", kind, 1, 0, len(data)) + data

    def answer(self, query):
        listed = [one for one in self.instances if one["lifecycle"] in ("ready", "draining")]
        service = "_data._tcp.farm.lan"
        question = self.name(service) + struct.pack("!HH", 33, 1)
        answers, additional = b"", b""
        for one in listed:
            host = "%s.%s.hosts" % (one["instanceId"], one["zone"])
            address, port = one["hostPort"].split(":")
            priority = 0 if one["lifecycle"] == "ready" else 1
            answers += self.record_of(service, 33, struct.pack("!HHH", priority, 40, int(port)) + self.name(host))
            additional += self.record_of(host, 1, socket.inet_aton(address))
            texts = ["kind=" + one["machineType"], "cell=%d" % one["cell"], "started=%d" % one["startedAtMs"]]
            additional += self.record_of(host, 16, b"".join(bytes([len(text)]) + text.encode() for text in texts))
        soa = self.record_of("farm.lan", 6, self.name("ns.farm.lan") + self.name("ops.farm.lan") + struct.pack(
            "!IIIII", self.serial, 1, 1, 1, 0))
        head = query[:2] + struct.pack("!HHHHH", 0x8400, 1, len(listed), 1, 2 * len(listed))
        return head + question + answers + soa + additional


# --- an engine ------------------------------------------------------------------------------------------------------


class Attempt:
    """An attempt that has arrived whole at an engine."""

    def __init__(self, engine, writer, request, fields, statement):
        self.engine, self.writer, self.request, self.statement = engine, writer, request, statement
        self.fields = dict(part.split("=", 1) for part in fields.split(",") if "=" in part)
        self.at = time.time()
        self.ended = None

    def reply(self, text):
        self.writer.write(text if isinstance(text, bytes) else text.encode())

    def done(self, rows=ROWS):
        if self.ended is None:
            self.ended = time.time()
            self.engine.record.add(self.engine.name, "DONE %s" % self.request)
            body = rows.encode()
            self.reply(b"%s DONE pages=1,cost=100,need=10 %d\r\n%s\r\n" % (self.request.encode(), len(body), body))


class Engine:
    """Runs each attempt for `work_s` and answers with one row, unless `behave` does something else."""

    def __init__(self, record, name, work_s=0.02, behave=None):
        self.record, self.name, self.work_s, self.behave = record, name, work_s, behave
        self.attempts = []
        self.writers = set()
        self.port = None

    async def start(self, sock=None):
        if sock is None:
            self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        else:
            self.server = await asyncio.start_server(self.serve, sock=sock, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        tasks = set()
        open_here = {}
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                words = line.split(" ")
                if words[0] == "fetch":
                    statement = await reader.readexactly(int(words[3]) + 2)
                    attempt = Attempt(self, writer, words[1], words[2], statement[:-2])
                    self.attempts.append(attempt)
                    open_here[words[1]] = attempt
                    self.record.add(self.name, "fetch %s %s %s" % (words[1], words[2], words[3]))
                    task = asyncio.ensure_future(self.run(attempt))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
                elif words[0] == "abort":
                    self.record.add(self.name, line)
                    attempt = open_here.get(words[1])
                    if attempt and attempt.ended is None:
                        attempt.ended = time.time()
                elif words[0] in ("stats", "alive"):
                    writer.write(b"%s FIT load=inflight:%d;util:0.1 0\r\n\r\n" % (
                        words[1].encode(), sum(one.ended is None for one in open_here.values())))
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            for attempt in open_here.values():
                if attempt.ended is None:
                    attempt.ended = time.time()
            for task in list(tasks):
                task.cancel()
            self.writers.discard(writer)
            writer.close()

    async def run(self, attempt):
        if self.behave is not None:
            return await self.behave(attempt)
        await asyncio.sleep(self.work_s)
        attempt.done()


# --- clients --------------------------------------------------------------------------------------------------------


class Lost(Exception):
    """The connection ended with no whole answer to the call."""


class Client:
    """A client's connection. Calls are numbered from 1; answers may arrive in any order."""

    def __init__(self, record, name, reader, writer, quiet):
        self.record, self.name, self.reader, self.writer, self.quiet = record, name, reader, writer, quiet
        self.calls = {}
        self.next_call = 1
        self.unmatched = []
        self.ended_at = None
        self.task = asyncio.ensure_future(self.read())

    @classmethod
    async def connect(cls, record, name, port, quiet=False):
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(record, name, reader, writer, quiet)

    def add(self, text):
        if not self.quiet:
            self.record.add(self.name, text)

    async def read(self):
        try:
            while True:
                head = await self.reader.readuntil(b"\r\n\r\n")
                length = int(re.search(rb"content-length:\s*(\d+)", head, re.I).group(1))
                body = await self.reader.readexactly(length)
                answer = json.loads(body)
                future = self.calls.pop(answer.get("id"), None)
                self.add("answer to %s: %s" % (answer.get("id"), body[:90].decode()))
                if future is None:
                    self.unmatched.append(answer)
                elif not future.done():
                    future.set_result(answer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.ended_at = time.time()
            self.add("the connection has ended with %d open calls" % len(self.calls))
            for future in self.calls.values():
                if not future.done():
                    future.set_exception(Lost())
            self.calls.clear()

    def number(self):
        number = self.next_call
        self.next_call += 1
        return number

    def register(self, number):
        future = asyncio.get_running_loop().create_future()
        future.add_done_callback(lambda done: done.cancelled() or done.exception())
        if self.ended_at is not None:
            future.set_exception(Lost())
        else:
            self.calls[number] = future
        return future

    @staticmethod
    def frame(number, method, params):
        body = json.dumps({"jsonrpc": "2.0", "id": number, "method": method, "params": params}).encode()
        return b"Content-Length: %d\r\n\r\n%s" % (len(body), body)

    def call_raw(self, method, params):
        number = self.number()
        future = self.register(number)
        self.writer.write(self.frame(number, method, params))
        return future

    def request_params(self, wait_ms, statement="select a, b, c from sales_17.orders", **more):
        encoded = base64.b64encode(statement.encode()).decode()
        return dict({"id": new_id(), "wait": wait_ms, "bytes": encoded}, **more)

    def call(self, method, wait_ms, statement="select a, b, c from sales_17.orders", **more):
        """Sends a request whole; returns its id and the future of its answer."""
        params = self.request_params(wait_ms, statement, **more)
        self.add("%s %d %s wait %d" % (method, self.next_call, params["id"], wait_ms))
        return params["id"], self.call_raw(method, params)

    def close(self):
        self.task.cancel()
        self.writer.close()


def kind_of(answer):
    if "result" in answer:
        return "served"
    return "refused" if answer["error"]["code"] == REJECTED else "failed"


def lost_of(sent):
    """The ids of the requests that their connection's end has left without an answer, of `sent`: (id, time, client, future).

    A request that was sent less than 50 ms before the end is left out: by the protocol it may have crossed the close, and
    its client sends it again.
    """
    lost = []
    for request, at, client, future in sent:
        if future.done() and future.exception() is None:
            continue
        if client.ended_at is None or at < client.ended_at - CROSSING_S:
            lost.append(request)
    return lost


async def until_answered(sent, wait_ms_of):
    """Waits for each answer until half a second after the client's time."""
    for request, at, _, future in sent:
        left = at + wait_ms_of[request] / 1000 + GRACE_S - time.time()
        await asyncio.wait([future], timeout=max(left, 0.01))


def main(play):
    """Plays the case within 110 seconds, writes the record to the path given as argument, and exits with the result."""
    record = Record(sys.argv[1])
    record.add("case", "the disruption is %s" % ("on" if trouble() else "off"))
    ends = []

    async def limited():
        return await asyncio.wait_for(play(record, ends), 110)

    # Who ends the script also ends what it has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    code = NOT_RUN
    try:
        broken = asyncio.run(limited())
        code = BROKEN if broken else HELD
        record.add("case", "the rule was broken: %s" % broken if broken else "the rule held")
    except BaseException as error:  # An error of the script must not look like a broken rule.
        record.add("case", "could not run: %r" % error)
        print("could not run: %r" % error, file=sys.stderr)
    for end in reversed(ends):
        end()
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code], flush=True)
    record.file.close()
    # Connections that are still open need no orderly end.
    os._exit(code)
