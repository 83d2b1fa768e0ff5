"""After a release, nodes that have all started again join two versions' events."""
import asyncio
import pathlib
import re
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness as h  # noqa: E402

NODES, RUNNERS, STREAMS = 7, 4, 8
EVENTS, EVENT_MS = 60, 100
DEADLINE_S = 12
RESTART_S = 0.5
CONFIG = {
    "version": 7,
    "services": [{"name": "pool", "healthPath": "/healthz", "maxConns": 620,
                  "protocol": "h1", "tls": False, "coldStartS": 0.0, "coldPerS": 0.0,
                  "engine": {"slots": 128, "kvTokens": 651364}}],
    "routes": [{"name": "r-chat", "hostname": h.HOST, "prefix": "/s/",
                "routeKind": "streaming", "timeoutMs": 12000, "sloMs": 300,
                "priority": 0, "backend": "pool", "attempts": 2, "public": False,
                "sticky": True, "resumable": True, "gapTargetMs": 200}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "t1", "apiKeys": ["key1"], "priority": 1}],
}


async def find_addresses(nodes):
    """Asks up to three nodes that serve the directory, one second each."""
    for node in nodes[:3]:
        status, body = await h.fetch(node.address("directory"),
                                     "/egretladder/resolve?name=%s&region=r1&zone=z1"
                                     % h.HOST)
        if status == 200:
            return h.json.loads(body)["addrs"]
    return []


async def stream(record, nodes, results, number):
    """One stream, which its client takes up again when its connection breaks."""
    begin, first_id, text, last = h.now(), "", b"", ""
    tries = 0
    while h.now() < begin + DEADLINE_S and tries < 6:
        tries += 1
        addresses = await find_addresses(nodes)
        if not addresses:
            await asyncio.sleep(0.4)
            continue
        connection = h.Connection(addresses[number % len(addresses)])
        request_id = h.attempt_id()
        fields = {"Egretladder-Attempt-Id": request_id, "Egretladder-Key": "key1",
                  "Egretladder-Model": "m", "Egretladder-Token-Usage": "60,%d" % EVENTS,
                  "Egretladder-Prompt-Prefix": "5c1e07a2:20,%x:40" % (number + 1),
                  "Egretladder-Deadline-Ms": int(1000 * (begin + DEADLINE_S - h.now()))}
        if first_id:
            fields |= {"Last-Event-Id": last, "Resumes": first_id}
        record("client", number, "sends", request_id, "to", connection.address,
               "resumes %s after %s" % (first_id, last) if first_id else "")
        try:
            await connection.open()
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.4)
            continue
        answer = await connection.ask("POST", "/s/2f", fields, b"x" * 800, DEADLINE_S)
        connection.close()
        whole = answer.body[:answer.body.rfind(b"\n\n") + 2] if answer.status == 200 else b""
        record("client", number, "got", answer.status or "no answer", "for", request_id,
               whole.count(b"\n\n"), "events,",
               "complete" if answer.is_complete else "not complete")
        if whole:
            first_id = first_id or request_id
            text += whole
            last = re.findall(rb"id: (\d+)\n", whole)[-1].decode()
        if answer.status == 200 and answer.is_complete:
            break
        await asyncio.sleep(float(answer.fields.get("retry-after", 0.4)))
    versions = sorted(set(re.findall(rb" of (v\d)\n", text)))
    ids = [int(number) for number in re.findall(rb"id: (\d+)\n", text)]
    record.say("stream %d: %d events of %s%s" % (
        number, len(ids), b" and ".join(versions).decode(),
        "" if ids == list(range(1, len(ids) + 1)) else ", out of order"))
    results.append(versions)


def make_runner(record, store, net, i, version):
    first = 100 if version == "v1" else 150
    return h.Runner(record, store, "i-%s-%d" % (version, i), "pool",
                    "%s.%d:8080" % (net, first + i), work_ms=20, slots=128,
                    events=EVENTS, event_ms=EVENT_MS, version=version)


async def case(record, folder, nodes):
    net = h.pick_network()
    store = h.Store(record)
    await store.start(net + ".2:8223")
    await store.put("op/config", CONFIG)
    old = [make_runner(record, store, net, i, "v1") for i in range(RUNNERS)]
    for runner in old:
        await runner.start()
    ips = ["%s.%d" % (net, 10 + i) for i in range(NODES)]
    seeds = ["%s:%d" % (ip, h.PORTS["control"]) for ip in ips[:3]]
    nodes += [h.Node(record, "n%d" % i, ip, seeds, store.address, folder)
              for i, ip in enumerate(ips)]
    for node in nodes:
        node.start()
    if not await h.wait_until_ready(nodes):
        record.say("the nodes never became ready")
        return h.COULD_NOT_RUN
    await asyncio.sleep(4)
    # A release: one after the other, the new one starts first, the old one leaves.
    # These never report `draining`: their entry is removed, and they serve on.
    results = []
    streams = [asyncio.create_task(stream(record, nodes, results, n))
               for n in range(STREAMS)]
    await asyncio.sleep(0.3)
    for i, runner in enumerate(old):
        await make_runner(record, store, net, i, "v2").start()
        runner.beats.cancel()
        await store.remove("servers/" + runner.id)
        record.say(runner.id, "is replaced, and serves on")
        await asyncio.sleep(1 if i < RUNNERS - 1 else 0.5)
    if h.TROUBLE:
        record.say("all nodes are killed at once")
        for node in nodes:
            node.end()
        await asyncio.sleep(RESTART_S)
        for node in nodes:
            node.start()
    # The last one exits a little later than drainMs after the store knew.
    await asyncio.sleep(h.BOUNDS["drainMs"] / 1000 + 0.5)
    await asyncio.gather(*streams)
    joined = sum(len(versions) > 1 for versions in results)
    record.say("streams that hold events of two versions: %d of %d (more than 2 break "
               "ORDER)" % (joined, len(results)))
    if any(node.check_end() for node in nodes) or len(results) < STREAMS:
        return h.COULD_NOT_RUN
    return h.BROKEN if joined > 2 else h.HELD


h.run(FOLDER, case)
