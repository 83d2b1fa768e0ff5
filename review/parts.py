"""Plays of runners that one part of a prompt crashes; for cases 5 and 6."""
import asyncio
import random
import time

import rig as kit

STABLE_S = 3.0  # `stableWindowMs`
NODES, RUNNERS = 3, 6
SOUND_PER_S, BAD_EVERY_S = 30, 1.5
BACK_AFTER_S, ENTRY_EXPIRES_S = 2.0, 3.6


class Engine(kit.Runner):
    """A sound model runner. It streams events of 50 ms each."""

    crashes = None  # Called when a part crashes it.
    events = 10
    crash_after = 0  # Events of the answer that the crashing part lets it write.

    async def run(self, attempt, method, target, fields, body, echo, reader, writer):
        self.present += 1
        bad = "bad0bad0" in fields.get("egretladder-prompt-prefix", "")
        try:
            async with self.running:
                self.runs.append((time.monotonic(), attempt, method, target, body))
                await asyncio.sleep(0.1)  # Reading the prompt.
                bad = bad and kit.TROUBLE
                if bad and self.crash_after == 0:
                    self.crashes(self)
                    return False
                head = {**echo, "Egretladder-Response-Seal": "seal." + attempt,
                        "Content-Type": "text/event-stream", "Keep-Alive": "timeout=10",
                        "Transfer-Encoding": "chunked"}
                lines = ["HTTP/1.1 200 OK"] + ["%s: %s" % item for item in head.items()]
                writer.write("\r\n".join(lines + ["", ""]).encode())
                first = int(fields.get("last-event-id", "0") or 0) + 1
                for number in range(first, self.events + 1):
                    is_last = number == self.events
                    if bad and (number - first == self.crash_after or is_last):
                        self.crashes(self)
                        return False
                    event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 40)
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                    await writer.drain()
                    await asyncio.sleep(0.05)
                writer.write(b"0\r\n\r\n")
                await writer.drain()
                return True
        finally:
            self.present -= 1


async def play(rig, shared_parts, bad_place, crash_after, events=10):
    """`crash_after`: events that a runner writes, at most, before the part crashes it."""
    store = kit.Store(rig, rig.address())
    await store.start()
    engines = {"name": "engines", "maxConns": 600, "coldStartS": 0, "coldPerS": 0,
               "engine": {"kvTokens": 900000}}
    await store.put("op/config", kit.config(7, [engines], [
        kit.route("chat", "streaming", "engines", 8000, 1000, 2, resumable=True,
                  gapTargetMs=600, sticky=True)]))
    crashes, bad_arrivals, bad_ids, tasks = [], [], set(), []

    async def add():
        engine = Engine(rig, store, "i-%08x" % random.getrandbits(32), "engines",
                        rig.address(), slots=64)
        engine.crashes, engine.crash_after = on_crash, crash_after
        engine.events = events
        await engine.start()
        await engine.publish()
        return engine

    async def come_back(engine):
        await asyncio.sleep(BACK_AFTER_S)
        live.append(await add())
        await asyncio.sleep(ENTRY_EXPIRES_S - BACK_AFTER_S)
        await store.remove("servers/" + engine.name)

    def on_crash(engine):
        if engine not in live:
            return
        live.remove(engine)
        crashes.append(time.monotonic())
        rig.record("runner %s crashes, crash %d" % (engine.name, len(crashes)))
        engine.crash()
        all_engines.append(engine)
        tasks.append(asyncio.create_task(come_back(engine)))

    live, all_engines = [], []
    for _ in range(RUNNERS):
        live.append(await add())
    nodes = []
    for i in range(NODES):
        nodes.append(kit.Node(rig, "front-%d" % i, "abc"[i % 3], store.address,
                              [nodes[0].control] if nodes else None))
    for node in nodes:
        node.start()
    if not await kit.wait_ready(nodes):
        return None
    await asyncio.sleep(4)  # Machines are in touch.

    shared = ["%08x" % (0x10000000 + i) for i in range(shared_parts)]

    def prefix(is_bad):
        parts = list(shared)
        if is_bad:
            parts[bad_place] = "bad0bad0"
        parts.append("%08x" % random.getrandbits(31))
        return ",".join("%s:%d" % (part, 40) for part in parts)

    sound, bad_ends, sound_ends = [], {}, {}  # Of sound requests: when sent, whether it began.

    async def ask(is_bad):
        node = random.choice(nodes)
        connection, attempt, began = kit.Connection(rig, node), kit.new_id(), time.monotonic()
        if is_bad:
            bad_ids.add(attempt)
        more = {"Egretladder-Model": "m",
                "Egretladder-Token-Usage": "%d,50" % (40 * (shared_parts + 1)),
                "Egretladder-Prompt-Prefix": prefix(is_bad)}
        body = ("%s %d" % (attempt, random.getrandbits(60))).encode()
        try:
            got = await connection.ask(attempt, "POST", "/chat/%s" % attempt[:4],
                                       "shop.example", "key-1", 8000, body, more)
        except (OSError, asyncio.TimeoutError):
            got = None
        connection.close()
        status = got[0] if got else 0
        if is_bad:
            bad_ends[status] = bad_ends.get(status, 0) + 1
            rig.record("bad request %s to %s: %d" % (attempt, node.name, status))
        else:
            # One that is cut by another request's crash had begun.
            sound.append((began, connection.began == 200, status))
            how = status or ("cut" if connection.began else "closed")
            sound_ends[how] = sound_ends.get(how, 0) + 1

    async def load(is_bad, every_s, until):
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(ask(is_bad)))
            await asyncio.sleep(every_s)

    await load(False, 1 / SOUND_PER_S, time.monotonic() + 8)
    calm_until = time.monotonic()
    end = calm_until + 45
    await asyncio.gather(load(False, 1 / SOUND_PER_S, end), load(True, BAD_EVERY_S, end))
    await asyncio.sleep(1)

    for engine in live + all_engines:
        bad_arrivals += [at for at, attempt, *_ in engine.runs if attempt in bad_ids]
    calm = [ok for at, ok, _ in sound if at < calm_until]
    share_calm = sum(calm) / len(calm)
    if not kit.TROUBLE:
        rig.record("share of sound requests that began: calm %.3f, later %.3f" % (
            share_calm, sum(ok for at, ok, _ in sound if at >= calm_until) /
            sum(at >= calm_until for at, _, _ in sound)))
        return True
    if len(crashes) < 5:
        rig.record("only %d crashes" % len(crashes))
        return True
    fifth = crashes[4]
    late = [at for at in bad_arrivals if at > fifth + STABLE_S]
    after = [ok for at, ok, _ in sound if at > fifth + 2 * STABLE_S]
    share_after = sum(after) / max(1, len(after))
    text = ("%d crashes; requests with the part that reached runners later than 3 s after the "
            "fifth: %d, 3 allowed; sound requests that began at the first attempt: %.3f of %d "
            "before, %.3f of %d from 6 s after the fifth crash on; sound requests ended %s, those with the part %s" % (
                len(crashes), len(late), share_calm, len(calm), share_after, len(after), sound_ends, bad_ends))
    rig.record(text)
    print(text)
    if share_after < share_calm / 2:
        rig.record("LOST is broken too")
    return len(late) <= 3

