"""Plays of runners that one part of a prompt crashes; for cases 5 and 6."""
import asyncio
import random
import time

import rig as kit

STABLE_S = 3.0  # `stableWindowMs`
NODES, RUNNERS = 3, 6
SOUND_PER_S, BAD_EVERY_S = 30, 1.5
BACK_AFTER_S, ENTRY_EXPIRES_S = 2.0, 3.6


class Engine(kit.Engine):
    """A sound model runner that one part of a prompt crashes."""

    event_s, prompt_s = 0.05, 0.1
    on_crash = None
    crash_after = 0  # Events of an answer that the part lets it write, at most.

    def falls_at(self, fields, written, is_last):
        if not kit.TROUBLE or "bad0bad0" not in fields.get("egretladder-prompt-prefix", ""):
            return False
        if written != self.crash_after and not is_last:
            return False
        self.on_crash(self)
        return True


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
        engine = Engine(rig, store, kit.new_name(), "engines", rig.address(), slots=64)
        engine.on_crash, engine.crash_after = on_crash, crash_after
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
    nodes = await kit.start_fleet(rig, store, NODES)
    if nodes is None:
        return None
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
            rig.record("%s has the part that crashes runners" % attempt)
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
    # A tenth of a second is left for the way from the machine that sent it.
    late = [at for at in bad_arrivals if at > fifth + STABLE_S + 0.1]
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

