"""A stream that goes on at another node gets that node's 401 in its middle."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness as h  # noqa: E402

STREAMS = 6
EVENTS, SHORT_EVENTS, EVENT_MS = 60, 5, 100
WARM_S = 14  # Until the nodes have their part of the retry budget.
CUT_S = 5
TENANTS = {"t1": ["key1"], "t2": ["key2", "key3"]}


def make_config(version, tenants):
    return {
        "version": version,
        "services": [{"name": "pool", "healthPath": "/healthz", "maxConns": 620,
                      "protocol": "h1", "tls": False, "coldStartS": 0.0, "coldPerS": 0.0,
                      "engine": {"slots": 128, "kvTokens": 651364}}],
        "routes": [{"name": "r-chat", "hostname": h.HOST, "prefix": "/s/",
                    "routeKind": "streaming", "timeoutMs": 12000, "sloMs": 300,
                    "priority": 0, "backend": "pool", "attempts": 2, "public": False,
                    "sticky": True, "resumable": True, "gapTargetMs": 200}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": name, "apiKeys": keys, "priority": 1}
                    for name, keys in tenants.items()],
    }


async def ask(record, node, key, answers, events):
    """One stream of a client on a connection of its own."""
    connection, request_id = h.Connection(node.address("front")), h.attempt_id()
    try:
        await connection.open()
    except (OSError, asyncio.TimeoutError):
        return
    record("client sends", request_id, "with", key, "to", node.name)
    answer = await connection.ask(
        "POST", "/s/2f", {"Egretladder-Attempt-Id": request_id, "Egretladder-Key": key,
                          "Egretladder-Model": "m", "Egretladder-Token-Usage": "60,%d" % events,
                          "Egretladder-Prompt-Prefix": "5c1e07a2:20,%s:40" % request_id[:8],
                          "Egretladder-Deadline-Ms": 12000}, b"x" * 800, 12.0)
    connection.close()
    record("client got", answer.status or "no answer", "for", request_id,
           answer.body.count(b"\n\n"), "events,",
           "complete" if answer.is_complete else "not complete")
    if answer.bad_bytes:
        record.say("client got bytes that are no answer inside the stream", request_id,
                   answer.bad_bytes)
    answers.append((request_id, node.name, answer))


async def load(record, node, answers):
    """Other streams of the deployment, of a tenant that keeps its keys."""
    tasks = set()
    while True:
        task = asyncio.create_task(ask(record, node, "key3", answers, SHORT_EVENTS))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.1)


async def case(record, folder, nodes):
    net = h.pick_network()
    store = h.Store(record)
    await store.start(net + ".2:8223")
    await store.put("op/config", make_config(7, TENANTS))
    links, runners = [], []
    for i in range(5):
        published = "%s.%d:8080" % (net, 100 + i)
        runner = h.Runner(record, store, "i-%d" % i, "pool", published, work_ms=20,
                          slots=128, events=EVENTS, event_ms=EVENT_MS,
                          listen="%s.%d:8080" % (net, 150 + i))
        link = h.Link(published, runner.listen, nodes)
        await link.start()
        await runner.start()
        links.append(link)
        runners.append(runner)
    ips = ["%s.%d" % (net, 10 + i) for i in range(3)]
    seeds = ["%s:%d" % (ip, h.PORTS["control"]) for ip in ips]
    nodes += [h.Node(record, "n%d" % i, ip, seeds, store.address, folder)
              for i, ip in enumerate(ips)]
    for node in nodes:
        node.start()
    if not await h.wait_until_ready(nodes):
        record.say("the nodes never became ready")
        return h.COULD_NOT_RUN
    others, answers = [], []
    tasks = [asyncio.create_task(load(record, node, others)) for node in nodes]
    await asyncio.sleep(WARM_S)
    streams = [asyncio.create_task(ask(record, nodes[0], "key1", answers, EVENTS))
               for _ in range(STREAMS)]
    await asyncio.sleep(1)
    if h.TROUBLE:
        # A key is taken away from connected clients.
        await store.put("op/config", make_config(9, TENANTS | {"t1": []}))
        record.say("version 9 without key1 is acknowledged")
    await asyncio.sleep(1)
    if h.TROUBLE:
        # One front machine is partitioned from all runners.
        for link in links:
            link.cut.add(nodes[0].name)
        record.say(nodes[0].name, "is partitioned from all runners")
    await asyncio.sleep(CUT_S)
    for link in links:
        link.cut.clear()
    record.say("the partition ends")
    await asyncio.gather(*streams)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    bad = [row for row in answers + others if row[2].bad_bytes]
    complete = sum(row[2].is_complete for row in answers)
    broken_off = [request_id for runner in runners for request_id, end in runner.ran.items()
                  if end == "begun"]
    record.say("streams of key1: %d of %d complete, %d with bytes that are no answer" % (
        complete, len(answers), len(bad)))
    record.say("other streams: %d complete of %d" % (
        sum(row[2].is_complete for row in others), len(others)))
    record("not ended at a runner:", *broken_off)
    if len(answers) < STREAMS or any(node.check_end() for node in nodes):
        return h.COULD_NOT_RUN
    if not h.TROUBLE and complete < STREAMS:
        return h.COULD_NOT_RUN
    return h.BROKEN if bad else h.HELD


h.run(FOLDER, case)
