"""Stand-ins and processes for the scripts of the second review.

The store, the runners and the clients are small asyncio stand-ins in the process of
the script. The nodes are the program of the deploy file, with settings rendered from
the template of the deploy file, on loopback addresses.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
NODE = ROOT / "target/gateway/egretladderd"
TEMPLATE = ROOT / "deploy/node.ini"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def render(template, values):
    """Renders the template of the settings as the platform's page describes it, as far
    as the template of this project needs."""
    def look_up(name):
        value = values
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = look_up(match.group(1))
        return match.group(2) if value else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)

    def one(match):
        value = look_up(match.group(1))
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", one, text)


class Rig:
    """Addresses, a record, and all that was started."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.record_file = open(self.folder / "record.txt", "w")
        self.began = time.monotonic()
        self.temp = tempfile.TemporaryDirectory(prefix="egretladder-review-")
        self.block = "127.%d.%d." % (random.randrange(20, 220), random.randrange(1, 250))
        self.next_host = 1
        self.nodes, self.servers, self.connections = [], [], set()
        self.sent_at = {}  # When clients sent their requests, by attempt.

    def now(self):
        return time.monotonic() - self.began

    def record(self, text):
        self.record_file.write("%9.3f %s\n" % (self.now(), text))
        self.record_file.flush()

    def host(self):
        self.next_host += 1
        return self.block + str(self.next_host)

    def address(self, host=None):
        """Returns a free address."""
        host = host or self.host()
        with socket.socket() as probe:
            probe.bind((host, 0))
            return "%s:%d" % (host, probe.getsockname()[1])

    def end(self):
        for node in self.nodes:
            node.kill()
        for server in self.servers:
            server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.record_file.close()
        self.temp.cleanup()


async def read_message(reader, on_head=None):
    """Reads a request or an answer: first line, fields, body. Returns None at the end."""
    line = await reader.readline()
    if not line:
        return None
    fields = {}
    while True:
        field = await reader.readline()
        if field in (b"\r\n", b"\n"):
            break
        if not field:
            return None
        name, _, value = field.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()
    body = b""
    first = line.decode("latin-1").rstrip("\r\n")
    if on_head:
        on_head(first, fields)
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = (await reader.readline()).split(b";")[0].strip()
            if not line:
                raise asyncio.IncompleteReadError(body, None)
            size = int(line, 16)
            if size:
                body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return first, fields, body


def answer(status, fields, body, reason="X"):
    lines = ["HTTP/1.1 %d %s" % (status, reason)]
    lines += ["%s: %s" % item for item in fields.items()]
    lines += ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Server:
    """Listens at one address, and serves one request at a time on a connection."""

    def __init__(self, rig, address):
        self.rig, self.address = rig, address
        self.listener, self.writers = None, set()
        self.idle_s = None  # It closes connections that are idle for so long.

    async def start(self):
        host, port = self.address.split(":")
        self.listener = await asyncio.start_server(
            self.on_connection, host, int(port), backlog=256)
        self.rig.servers.append(self.listener)

    def crash(self):
        """Ends as a process that is killed does."""
        if self.listener:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def on_connection(self, reader, writer):
        self.writers.add(writer)
        self.rig.connections.add(writer)
        try:
            while True:
                message = await asyncio.wait_for(read_message(reader), self.idle_s)
                if message is None:
                    break
                if not await self.serve(message, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            self.rig.connections.discard(writer)
            writer.close()

    async def serve(self, message, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store, which the system only reads."""

    def __init__(self, rig, address):
        super().__init__(rig, address)
        self.items, self.history, self.revision = {}, [], 100
        self.mode, self.era = "ok", None
        self.changed = asyncio.Condition()
        self.calls = 0

    async def put(self, key, value):
        text = json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "rev": self.revision, "created": created,
                           "lease": 0, "value": base64.b64encode(text).decode()}
        self.history.append(self.items[key])
        await self.tell()

    async def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.history.append({"key": key, "rev": self.revision, "tombstone": True})
        await self.tell()

    async def tell(self):
        async with self.changed:
            self.changed.notify_all()

    def fields(self):
        fields = {"Content-Type": "application/json"}
        if self.era is not None:
            fields["Store-Era"] = str(self.era)
        return fields

    async def serve(self, message, writer):
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "busy":
            writer.write(answer(503, self.fields(), b"{}"))
            await writer.drain()
            return True
        self.calls += 1
        target = message[0].split()[1]
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        prefix = query.get("prefix", "")
        if path == "/egretladder/kv-range":
            found = [item for key, item in sorted(self.items.items())
                     if key.startswith(prefix) and key > query.get("after", "")]
            body = {"items": found[:500], "hasMore": len(found) > 500,
                    "storeRevision": self.revision}
        elif path == "/egretladder/kv-watch":
            after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
            if after > self.revision:
                writer.write(answer(410, self.fields(), b"{}"))
                await writer.drain()
                return True
            while True:
                events = [item for item in self.history
                          if item["rev"] > after and item["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    break
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
            if self.mode != "ok":  # The answer is lost in the disruption.
                await asyncio.sleep(3600)
            body = {"events": events, "storeRevision": self.revision}
        else:
            writer.write(answer(404, self.fields(), b"{}"))
            await writer.drain()
            return True
        writer.write(answer(200, self.fields(), json.dumps(body).encode()))
        await writer.drain()
        return True


class Runner(Server):
    """A sound runner. It writes its own entry in the store while it can reach it."""

    def __init__(self, rig, store, name, service, address, zone="a", slots=8,
                 work_s=0.02, queue=64, version="1.0", idle_s=10):
        super().__init__(rig, address)
        self.idle_s = idle_s
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.slots, self.work_s, self.queue, self.version = slots, work_s, queue, version
        self.state, self.seq, self.born, self.cold_until = "ready", 0, 0, 0.0
        self.running, self.arrivals, self.runs, self.more = None, [], [], {}
        self.present = 0
        # While it is cold, it crashes when more requests than that come in one second.
        self.crash_above, self.crashes = None, 0

    def cold_left_ms(self):
        return max(0, int(1000 * (self.cold_until - time.monotonic())))

    def entry(self):
        self.seq += 1
        return {"backend": self.service, "address": self.address, "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state,
                "coldLeftMs": self.cold_left_ms(), "seq": self.seq, "born": self.born}

    async def publish(self):
        await self.store.put("servers/" + self.name, self.entry())

    async def start(self, cold_s=0.0):
        self.born, self.seq = int(time.time() * 1000), 0
        self.running, self.present = asyncio.Semaphore(self.slots), 0
        self.cold_until = time.monotonic() + cold_s
        await super().start()
        self.rig.record("runner %s starts, cold for %.1f s" % (self.name, cold_s))

    async def serve(self, message, writer):
        first, fields, body = message
        method, target = first.split()[:2]
        if target == "/egretladder/report":
            report = {"stage": "colocated", "models": [], "busy": False, "seq": 0,
                      "waiting": 0, "running": self.present, "born": self.born}
            writer.write(answer(200, {"Content-Type": "application/json"},
                                json.dumps(report).encode()))
            await writer.drain()
            return True
        if target == "/healthz":
            more = {"Egretladder-Instance-Id": self.name}
            if self.cold_left_ms():
                more["Egretladder-Cold-Ms"] = str(self.cold_left_ms())
            writer.write(answer(200 if self.state == "ready" else 503, more, b""))
            await writer.drain()
            return True
        attempt = fields.get("egretladder-attempt-id", "")
        echo = {"Egretladder-Attempt-Id": attempt, **self.more}
        expected = fields.get("egretladder-expect-instance", self.name)
        if expected != self.name:
            writer.write(answer(421, {**echo, "Egretladder-Instance-Id": self.name}, b""))
            await writer.drain()
            return True
        if self.has_crashed_cold():
            return False
        self.arrivals.append((time.monotonic(), attempt, self.cold_left_ms()))
        self.rig.record("%s reaches runner %s" % (attempt, self.name))
        if self.present >= self.slots + self.queue:
            writer.write(answer(503, {**echo, "Egretladder-Not-Executed": "full"}, b""))
            await writer.drain()
            return True
        return await self.run(attempt, method, target, fields, body, echo, writer)

    def has_crashed_cold(self):
        if self.crash_above is None or self.listener is None:
            return False
        now = time.monotonic()
        recent = sum(1 for at, _, left in self.arrivals if left > 0 and now - at < 1.0)
        if recent <= self.crash_above:
            return False
        self.crashes += 1
        self.rig.record("runner %s crashes: %d requests in one second while it is cold" % (
            self.name, recent))
        self.crash()
        return True

    def most_while_cold(self):
        """Returns the most requests that were sent by their clients and arrived inside
        one second while it was cold."""
        times = [(self.rig.sent_at.get(attempt, at), at)
                 for at, attempt, left in self.arrivals if left > 0]
        return max((sum(1 for sent, at in times if begin <= sent and at < begin + 1.0)
                    for begin, _ in times), default=0)

    def begin(self, attempt, method, target, body):
        self.runs.append((time.monotonic(), attempt, method, target, body))
        self.rig.record("%s runs at runner %s: %s %s, %d bytes" % (
            attempt, self.name, method, target, len(body)))

    async def run(self, attempt, method, target, fields, body, echo, writer):
        self.present += 1
        try:
            async with self.running:
                self.begin(attempt, method, target, body)
                await asyncio.sleep(self.work_s)
        finally:
            self.present -= 1
        text = ("done %s at %s\n" % (attempt, self.name)).encode()
        writer.write(answer(200, {**echo, "Egretladder-Response-Seal": "seal." + attempt,
                                  "Content-Type": "text/plain",
                                  "Keep-Alive": "timeout=%d" % self.idle_s}, text))
        await writer.drain()
        return True


class Engine(Runner):
    """A sound model runner. It streams events, and goes on behind `Last-Event-Id`."""

    events, event_s, prompt_s = 10, 0.02, 0.03

    def falls_at(self, _fields, _written, _is_last):
        """Returns true if it crashes before its next event, of which it has written so
        many in this answer."""
        return False

    async def run(self, attempt, method, target, fields, body, echo, writer):
        self.present += 1
        try:
            async with self.running:
                self.begin(attempt, method, target, body)
                await asyncio.sleep(self.prompt_s)
                return await self.stream(attempt, fields, echo, writer)
        finally:
            self.present -= 1

    async def stream(self, attempt, fields, echo, writer):
        first = int(fields.get("last-event-id", "0") or 0) + 1
        if self.falls_at(fields, 0, first >= self.events):
            return False
        head = {**echo, "Egretladder-Response-Seal": "seal." + attempt,
                "Content-Type": "text/event-stream",
                "Keep-Alive": "timeout=%d" % self.idle_s, "Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK"] + ["%s: %s" % item for item in head.items()]
        writer.write("\r\n".join(lines + ["", ""]).encode())
        for number in range(first, self.events + 1):
            if number > first and self.falls_at(fields, number - first, number == self.events):
                return False
            event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 40)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Node:
    """One process of the system."""

    def __init__(self, rig, name, zone, store, seeds, bounds=None):
        self.rig, self.name = rig, name
        self.ip = rig.host()
        port = lambda: rig.address(self.ip)
        self.listen = {"front": port(), "ready": port(), "directory": port()}
        self.control = port()
        handover = int(port().split(":")[1])
        self.metrics = port()
        values = {
            "node": name, "zone": zone, "region": "r", "ip": self.ip,
            "listen": {**self.listen, "control": self.control},
            "portRange": [handover, handover], "seeds": seeds or [self.control],
            "bootstrap": True, "provider": {"address": store},
            "bounds": {"budgetRatio": 0.2, "budgetSlack": 54, "budgetWindowS": 10,
                       "graceS": 8, **(bounds or {})},
            "limits": {"memoryMb": 260, "maxFds": 4100}}
        text = render(TEMPLATE.read_text(), values)
        # The page gives metrics one port on all machines; any free one serves here.
        text = re.sub(r"(?m)^metrics = .*$", "metrics = " + self.metrics, text)
        self.settings = pathlib.Path(rig.temp.name) / (name + ".ini")
        self.settings.write_text(text)
        self.child = None
        rig.nodes.append(self)

    def start(self):
        log = open(self.log_path(), "ab")
        self.child = subprocess.Popen(
            [str(NODE), "--front", "hosts", "--config", str(self.settings)],
            stdout=log, stderr=log, cwd=ROOT)
        self.rig.record("node %s starts" % self.name)

    def handovers(self):
        """Returns how many requests it handed over to other nodes."""
        return self.log_path().read_text(errors="replace").count('"handed-over"')

    def log_path(self):
        return pathlib.Path(self.rig.temp.name) / (self.name + ".log")

    def signal(self, number):
        self.rig.record("node %s gets signal %d" % (self.name, number))
        self.child.send_signal(number)

    def kill(self):
        if self.child is None or self.child.poll() is not None:
            return
        self.child.send_signal(signal.SIGCONT)
        self.child.kill()
        self.child.wait()


async def get(address, target, timeout=2.0):
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(("GET %s HTTP/1.1\r\nHost: x\r\n\r\n" % target).encode())
        return await asyncio.wait_for(read_message(reader), timeout)
    finally:
        writer.transport.abort()


async def wait_ready(nodes, timeout=15.0):
    end = time.monotonic() + timeout
    for node in nodes:
        while True:
            try:
                message = await get(node.listen["ready"], "/egretladder/readyz", 1.0)
                if message and " 200" in message[0]:
                    break
            except (OSError, asyncio.TimeoutError):
                pass
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.05)
    return True


async def start_fleet(rig, store, count):
    """Starts nodes in three zones, and returns them when they are ready and in touch;
    None: they didn't become ready."""
    nodes = []
    for i in range(count):
        nodes.append(Node(rig, "front-%d" % i, "abc"[i % 3], store.address,
                          [nodes[0].control] if nodes else None))
    for node in nodes:
        node.start()
    if not await wait_ready(nodes):
        return None
    await asyncio.sleep(4)
    return nodes


class Connection:
    """A client's connection to a node."""

    def __init__(self, rig, node):
        self.rig, self.node, self.reader, self.writer = rig, node, None, None
        self.began = 0

    async def open(self):
        host, port = self.node.listen["front"].split(":")
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), 1.0)

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None

    def on_head(self, first, _fields):
        self.began = int(first.split()[1])

    async def ask(self, attempt, method, target, host, key, deadline_ms, body=b"", more=None):
        """Returns the status, fields and body, or None if the connection ended."""
        self.began = 0  # Status of an answer that has begun.
        if self.writer is None:
            await self.open()
        fields = {"Host": host, "Egretladder-Attempt-Id": attempt,
                  "Egretladder-Deadline-Ms": str(deadline_ms), **(more or {})}
        if key:
            fields["Egretladder-Key"] = key
        if body:
            fields["Content-Length"] = str(len(body))
        self.rig.sent_at[attempt] = time.monotonic()
        self.rig.record("%s is sent to node %s: %s %s, %d bytes" % (
            attempt, self.node.name, method, target, len(body)))
        lines = ["%s %s HTTP/1.1" % (method, target)]
        lines += ["%s: %s" % item for item in fields.items()]
        self.writer.write("\r\n".join(lines + ["", ""]).encode() + body)
        try:
            message = await asyncio.wait_for(read_message(self.reader, self.on_head),
                                             deadline_ms / 1000 + 0.2)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            message = None
        if message is None:
            self.close()
            self.rig.record("%s: %s" % (attempt, "the answer is cut, status %d" % self.began
                                        if self.began else "no answer"))
            return None
        status = int(message[0].split()[1])
        self.rig.record("%s is answered: %d, %d bytes" % (attempt, status, len(message[2])))
        if message[1].get("connection", "").lower() == "close":
            self.close()
        return status, message[1], message[2]


def route(name, kind, service, timeout_ms, slo_ms, attempts, **more):
    return {"name": name, "hostname": "shop.example", "prefix": "/%s/" % name,
            "routeKind": kind, "timeoutMs": timeout_ms, "sloMs": slo_ms, "priority": 1,
            "backend": service, "attempts": attempts, **more}


def config(version, services, routes, keys=("key-1",)):
    return {"version": version, "services": services, "routes": routes,
            "tenants": [{"name": "tenant-1", "apiKeys": list(keys)}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 5000, "idleTimeoutMs": 15000}}


def new_name():
    return "i-%08x" % random.getrandbits(32)


def new_id():
    return "%016x" % random.getrandbits(64)


def main(folder, play):
    """Runs the case `play(rig)`, which returns True if the rule held, False if it was
    broken and None if it couldn't run."""
    rig = Rig(folder)
    held = None

    # Whoever ends the script ends what it has started, too.
    def stop(*_):
        rig.end()
        os._exit(2)

    signal.signal(signal.SIGTERM, stop)
    try:
        loop = asyncio.new_event_loop()
        loop.set_exception_handler(lambda *_: None)
        held = loop.run_until_complete(asyncio.wait_for(play(rig), 115))
    except Exception as error:  # pylint: disable=broad-except
        rig.record("could not run: %r" % error)
        print("could not run: %r" % error)
    finally:
        rig.record("result: %s" % {True: "held", False: "BROKEN", None: "not run"}[held])
        print({True: "held", False: "broken", None: "could not run"}[held])
        rig.end()
    sys.stdout.flush()
    os._exit({True: 0, False: 1, None: 2}[held])  # Without the rest of the tasks.
