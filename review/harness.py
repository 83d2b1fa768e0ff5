"""Stand-ins of the platform's store, of runners and of clients, and the nodes
under test as separate processes. Everything runs on loopback addresses and the
real clock. The stand-ins do what the users' pages say; a page that is silent is
read as for a sound store, runner or client."""
import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
NODE = ROOT / "target/gateway/egretladderd"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PORTS = {"front": 8227, "ready": 8220, "control": 8229, "directory": 8224,
         "handovers": 7340, "metrics": 9464}
# Bounds of the small deployments, as the site files and pages state them.
BOUNDS = {"stableWindowMs": 3000, "drainMs": 2000, "graceS": 8, "configMs": 2000,
          "budgetRatio": 0.2, "budgetSlack": 54, "budgetWindowS": 10}
HEARTBEAT_S = 1.2
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "ficu95.example"


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.begin = now()

    def __call__(self, *words):
        self.file.write("%8.3f %s\n" % (now() - self.begin, " ".join(map(str, words))))
        self.file.flush()

    def say(self, *words):
        self(*words)
        print(*words, flush=True)


def pick_network():
    """Returns a loopback prefix `127.a.b` on which all ports are free."""
    rng = random.SystemRandom()
    for _ in range(50):
        prefix = "127.%d.%d" % (rng.randrange(20, 220), rng.randrange(1, 250))
        try:
            for port in PORTS.values():
                with socket.socket() as probe:
                    probe.bind((prefix + ".10", port))
            return prefix
        except OSError:
            continue
    raise SystemExit(COULD_NOT_RUN)


# --- HTTP ---------------------------------------------------------------------

class Request:
    def __init__(self, method, target, fields, body):
        self.method, self.target, self.fields, self.body = method, target, fields, body
        self.id = fields.get("egretladder-attempt-id", "")


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_request(reader):
    first, fields = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return Request(method, target, fields, body)


def format_answer(status, fields, body=b"", chunked=False):
    reasons = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request",
               503: "Service Unavailable"}
    head = "HTTP/1.1 %d %s\r\n" % (status, reasons[status])
    for name, value in fields.items():
        head += "%s: %s\r\n" % (name, value)
    head += ("Transfer-Encoding: chunked\r\n" if chunked
             else "Content-Length: %d\r\n" % len(body))
    return head.encode() + b"\r\n" + body


# --- The platform's store -----------------------------------------------------

class Store:
    """Reads and watches, as PROTOCOL.md tells them. Nothing is ever lost."""

    def __init__(self, record):
        self.record, self.items, self.revision = record, {}, 100
        self.changed = asyncio.Condition()
        # Connections whose next answer to a watch of `servers/` gets lost.
        self.lose_next, self.lost_at = set(), []
        self.watchers = {}  # Connection number: prefix of the watch that waits.
        self.numbers = itertools.count()

    async def start(self, address):
        self.address = address
        host, port = address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def put(self, key, value):
        """Writes an item. Returns when the write is acknowledged."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        assert len(key) <= 200 and len(value) <= 1048576  # valueBytes
        async with self.changed:
            self.revision += 1
            self.items[key] = (self.revision, value)
            self.changed.notify_all()
        return now()

    async def remove(self, key):
        async with self.changed:
            self.revision += 1
            self.items[key] = (self.revision, None)
            self.changed.notify_all()
        return now()

    def item_json(self, key):
        rev, value = self.items[key]
        if value is None:
            return {"key": key, "rev": rev, "tombstone": True}
        return {"key": key, "value": base64.b64encode(value).decode(), "rev": rev,
                "created": rev, "lease": 0}

    async def serve(self, reader, writer):
        number = next(self.numbers)
        try:
            while True:
                request = await read_request(reader)
                url = urllib.parse.urlsplit(request.target)
                query = dict(urllib.parse.parse_qsl(url.query))
                if url.path == "/egretladder/kv-range":
                    status, body = 200, self.range(query)
                elif url.path == "/egretladder/kv-watch":
                    self.watchers[number] = query["prefix"]
                    status, body = await self.watch(query)
                    self.watchers.pop(number, None)
                else:
                    status, body = 404, {}
                if number in self.lose_next:
                    # The connection returns nothing further.
                    self.lose_next.discard(number)
                    self.lost_at.append(now())
                    self.record("store: the answer on connection", number, "is lost")
                    await reader.read()
                    return
                writer.write(format_answer(
                    status, {"Content-Type": "application/json", "Store-Era": "1"},
                    json.dumps(body).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.watchers.pop(number, None)
            writer.close()

    def range(self, query):
        items, size, has_more = [], 0, False
        for key in sorted(self.items):
            if (not key.startswith(query["prefix"]) or key <= query.get("after", "") or
                    self.items[key][1] is None):
                continue
            if len(items) == 500 or size > 1000000:
                has_more = True
                break
            items.append(self.item_json(key))
            size += len(self.items[key][1])
        return {"items": items, "hasMore": has_more, "storeRevision": self.revision}

    async def watch(self, query):
        after = int(query["after"])
        until = now() + min(int(query["waitMs"]), 30000) / 1000
        if after > self.revision:
            return 410, {}
        while True:
            keys = [key for key, (rev, _) in self.items.items()
                    if key.startswith(query["prefix"]) and rev > after]
            if keys or now() >= until:
                keys.sort(key=lambda key: self.items[key][0])
                return 200, {"events": [self.item_json(key) for key in keys],
                             "storeRevision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - now())
                except asyncio.TimeoutError:
                    pass


# --- Runners ------------------------------------------------------------------

class Runner:
    """Answers requests, states its start, and writes its entry again and again.
    A path with /s/ is answered by a stream of events."""

    def __init__(self, record, store, rid, service, address, work_ms=60, slots=6,
                 events=10, event_ms=100, listen=None, version="v1"):
        self.record, self.store, self.id, self.service = record, store, rid, service
        self.address, self.listen = address, listen or address
        self.version = version
        self.work_s, self.slots = work_ms / 1000, slots
        self.events, self.event_s = events, event_ms / 1000
        self.state, self.seq, self.busy = "ready", 0, 0
        self.arrivals = []  # (time, request id)
        self.ran = {}  # Request id: how it ended.
        self.born = time.time_ns() // 1000000
        self.server, self.beats, self.writers = None, None, set()

    async def start(self):
        host, port = self.listen.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        await self.beat()
        self.beats = asyncio.create_task(self.beat_forever())

    async def beat(self):
        self.seq += 1
        return await self.store.put("servers/" + self.id, {
            "backend": self.service, "address": self.address, "zone": "z1",
            "version": self.version, "slots": self.slots, "state": self.state,
            "coldLeftMs": 0, "seq": self.seq, "born": self.born})

    async def beat_forever(self):
        await asyncio.sleep(random.random() * HEARTBEAT_S)
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def end(self):
        """Exits, as after a planned shutdown."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request.target == "/egretladder/report":
                    writer.write(format_answer(
                        200, {"Content-Type": "application/json"},
                        json.dumps({"born": self.born, "seq": 0, "busy": False,
                                    "waiting": 0, "running": self.busy}).encode()))
                elif request.target == "/healthz":
                    is_good = self.state == "ready"
                    writer.write(format_answer(200 if is_good else 503,
                                               {"Egretladder-Instance-Id": self.id}))
                elif request.fields.get("egretladder-expect-instance",
                                        self.id) != self.id:
                    writer.write(format_answer(421, {"Egretladder-Instance-Id": self.id}))
                else:
                    await self.run(request, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, request, reader, writer):
        self.arrivals.append((now(), request.id))
        fields = {"Egretladder-Attempt-Id": request.id}
        if self.busy >= self.slots:
            self.record("runner", self.id, "is full for", request.id)
            writer.write(format_answer(503, fields | {"Egretladder-Not-Executed": "1"}))
            return
        self.busy += 1
        fields["Egretladder-Response-Seal"] = "seal-" + request.id
        self.record("runner", self.id, "runs", request.id)
        self.ran[request.id] = "begun"
        try:
            if "/s/" in request.target:
                await self.stream(request, fields, reader, writer)
            else:
                await self.sleep_while_open(self.work_s, reader)
                writer.write(format_answer(200, fields, b"ran " + request.id.encode()))
            self.ran[request.id] = "done"
        finally:
            self.busy -= 1
            self.record("runner", self.id, "ended", request.id, self.ran[request.id])

    @staticmethod
    async def sleep_while_open(seconds, reader):
        """The runner drops a request when its connection closes."""
        until = now() + seconds
        while now() < until:
            if reader.at_eof() or reader.exception():
                raise ConnectionError
            await asyncio.sleep(min(0.02, max(0.0, until - now())))

    async def stream(self, request, fields, reader, writer):
        first = int(request.fields.get("last-event-id", "0")) + 1
        await self.sleep_while_open(self.work_s, reader)
        writer.write(format_answer(
            200, fields | {"Content-Type": "text/event-stream"}, chunked=True))
        usage = request.fields.get("egretladder-token-usage", "0,%d" % self.events)
        last = int(usage.split(",")[1])  # One event for each token.
        for number in range(first, last + 1):
            event = b"id: %d\ndata: piece %d of %s\n\n" % (
                number, number, self.version.encode())
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if number < last:
                await self.sleep_while_open(self.event_s, reader)
        writer.write(b"0\r\n\r\n")


# --- A link that is cut for some of the processes ------------------------------

def owner_of(local_port, remote_port, pids):
    """Returns which of the processes holds the loopback connection from
    `local_port`; None if none does."""
    inode = None
    with open("/proc/net/tcp") as table:
        next(table)
        for line in table:
            words = line.split()
            if (int(words[1].split(":")[1], 16) == local_port and
                    int(words[2].split(":")[1], 16) == remote_port):
                inode = words[9]
                break
    for pid in pids:
        try:
            for name in os.listdir("/proc/%d/fd" % pid):
                try:
                    if os.readlink("/proc/%d/fd/%s" % (pid, name)) == "socket:[%s]" % inode:
                        return pid
                except OSError:
                    continue
        except OSError:
            continue
    return None


class Link:
    """Relays connections to a runner. For the processes in `cut` they hang: open
    ones go silent, new ones get no answer."""

    def __init__(self, listen, target, nodes):
        self.listen, self.target, self.nodes = listen, target, nodes
        self.cut = set()  # Names of nodes.

    async def start(self):
        host, port = self.listen.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port), backlog=512)

    async def serve(self, reader, writer):
        pids = {node.child.pid: node.name for node in self.nodes if node.child}
        caller_port = writer.get_extra_info("peername")[1]
        port = int(self.listen.split(":")[1])
        name = None
        for _ in range(20):  # The table may miss a socket while others change.
            name = pids.get(owner_of(caller_port, port, pids))
            if name is not None or reader.at_eof():
                break
            await asyncio.sleep(0.005)
        host, port = self.target.split(":")
        other = None
        try:
            other_reader, other = await asyncio.open_connection(host, int(port))
            await asyncio.gather(self.relay(name, reader, other),
                                 self.relay(name, other_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            if other:
                other.close()

    async def relay(self, name, reader, writer):
        while True:
            try:
                piece = await reader.read(65536)
            except OSError:
                piece = b""
            if name in self.cut:
                # Nothing passes the cut, also not the end of a connection. A
                # connection that has lost bytes ends with the cut.
                while name in self.cut:
                    await asyncio.sleep(0.02)
                writer.transport.abort()
                return
            if not piece:
                writer.close()
                return
            writer.write(piece)
            await writer.drain()


# --- Nodes ----------------------------------------------------------------------

def render(template, values):
    """Fills in deploy/node.ini as DEPLOY.md tells it."""
    def find(path):
        value = values
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                return None
        return value
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda m: m[2] if find(m[1]) else "", template, flags=re.S)
    def fill(match):
        value = find(match[1])
        return "" if value is None else (
            ",".join(map(str, value)) if isinstance(value, list) else str(value))
    return re.sub(r"\{\{([\w.]+)\}\}", fill, text)


class Node:
    def __init__(self, record, name, ip, seeds, store, folder, bootstrap=True):
        self.record, self.name, self.ip, self.folder = record, name, ip, folder
        self.child, self.ends, self.starts = None, [], 0
        self.settings = folder / (name + ".ini")
        self.values = {
            "node": name, "zone": "z1", "region": "r1", "ip": ip,
            "listen": {key: "%s:%d" % (ip, PORTS[key])
                       for key in ("front", "ready", "control", "directory")},
            "portRange": [PORTS["handovers"], PORTS["handovers"] + 15],
            "seeds": seeds, "bootstrap": bootstrap, "provider": {"address": store},
            "bounds": BOUNDS, "limits": {"memoryMb": 260, "maxFds": 4100}}

    def address(self, role):
        return "%s:%d" % (self.ip, PORTS[role])

    def start(self):
        self.settings.write_text(render(
            (ROOT / "deploy/node.ini").read_text(),
            self.values | {"bootstrap": self.values["bootstrap"] and not self.starts}))
        self.starts += 1
        log = open(self.folder / (self.name + ".log"), "ab")
        # The command of deploy/system.toml, with its own settings file.
        self.child = subprocess.Popen(
            [NODE, "--front", "hosts", "--config", self.settings],
            cwd=ROOT, stdout=log, stderr=log)
        self.record("node", self.name, "starts, pid", self.child.pid)

    def check_end(self):
        """Returns the exit status of a process that has ended by itself."""
        if self.child is None or self.child.poll() is None:
            return None
        status, self.child = self.child.returncode, None
        self.ends.append(status)
        self.record.say("node", self.name, "ended by itself, status", status)
        return status

    def end(self):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()
        self.child = None

    def logged(self, event):
        """Returns the node's log lines of one kind."""
        lines = []
        for line in (self.folder / (self.name + ".log")).read_text(
                errors="replace").splitlines():
            if '"event":"%s"' % event in line:
                lines.append(line)
        return lines


async def fetch(address, target, timeout=1):
    """A GET of a client or of the platform. Returns status and body."""
    host, port = address.split(":")
    async def get():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(("GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n" % (
                target, address)).encode())
            first, fields = await read_head(reader)
            body = await reader.readexactly(int(fields.get("content-length", 0)))
            return int(first.split(" ")[1]), body
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(get(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""


async def wait_until_ready(nodes, seconds=15):
    until = now() + seconds
    for node in nodes:
        while (await fetch(node.address("ready"), "/egretladder/readyz"))[0] != 200:
            if now() > until or node.child is None or node.child.poll() is not None:
                return False
            await asyncio.sleep(0.05)
    return True


# --- Clients ------------------------------------------------------------------

class Answer:
    def __init__(self):
        self.status, self.fields, self.body = 0, {}, b""
        self.is_complete = False
        self.bad_bytes = b""  # Bytes that are no answer in the protocol.


class Connection:
    """A client's connection, on which one request waits at a time."""

    def __init__(self, address):
        self.address, self.requests = address, 0
        self.reader = self.writer = None
        self.is_open = False

    async def open(self):
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), 1)
        self.is_open = True

    def close(self):
        self.is_open = False
        if self.writer:
            self.writer.close()

    async def ask(self, method, target, fields, body=b"", deadline_s=4.0):
        """Sends a request and reads its answer as far as it comes."""
        self.requests += 1
        answer = Answer()
        head = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, target, HOST)
        for name, value in fields.items():
            head += "%s: %s\r\n" % (name, value)
        if method == "POST":
            head += "Content-Length: %d\r\n" % len(body)
        try:
            self.writer.write(head.encode() + b"\r\n" + body)
            await asyncio.wait_for(self.read_answer(answer), deadline_s + 0.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.close()
        if answer.bad_bytes or answer.fields.get("connection") == "close":
            self.close()
        return answer

    async def read_answer(self, answer):
        first, answer.fields = await read_head(self.reader)
        answer.status = int(first.split(" ")[1])
        if "content-length" in answer.fields:
            answer.body = await self.reader.readexactly(int(answer.fields["content-length"]))
            answer.is_complete = True
            return
        while True:
            line = await self.reader.readuntil(b"\n")
            if not re.fullmatch(rb"[0-9a-fA-F]+\r\n", line):
                try:
                    rest = await asyncio.wait_for(self.reader.read(2000), 0.5)
                except asyncio.TimeoutError:
                    rest = b""
                answer.bad_bytes = line + rest
                return
            size = int(line, 16)
            piece = await self.reader.readexactly(size + 2)
            if piece[-2:] != b"\r\n":
                answer.bad_bytes = piece[size:]
                return
            if size == 0:
                answer.is_complete = True
                return
            answer.body += piece[:-2]


def attempt_id():
    return "%016x" % random.SystemRandom().getrandbits(64)


def run(folder, case):
    """Runs `case(record, temporary folder)` and exits as the issue says."""
    if not NODE.exists():
        print("the build of the deploy file is missing")
        sys.exit(COULD_NOT_RUN)
    record = Record(folder)
    temporary = pathlib.Path(tempfile.mkdtemp(prefix="egretladder-review-"))
    nodes = []
    try:
        loop = asyncio.new_event_loop()
        result = loop.run_until_complete(
            asyncio.wait_for(case(record, temporary, nodes), 110))
    except Exception as error:  # The case couldn't run, whatever the reason.
        record.say("could not run:", repr(error))
        result = COULD_NOT_RUN
    finally:
        for node in nodes:
            node.end()
        if os.environ.get("KEEP"):
            print("logs in", temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    record.say({HELD: "the rule held", BROKEN: "the rule was broken",
                COULD_NOT_RUN: "the case could not run"}[result],
               "(TROUBLE=%d)" % TROUBLE)
    sys.stdout.flush()
    os._exit(result)  # Connections of stand-ins may still be open.
