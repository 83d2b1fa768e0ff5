"""An entry of another writer whose bytes can't be read ends all nodes."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness as h  # noqa: E402

CLIENTS_PER_NODE = 8
# Bytes that are no JSON, well below valueBytes (1,048,576).
UNREADABLE = b"[" * 1000000
RESTART_S = 0.5
CONFIG = {
    "version": 7,
    "services": [{"name": "payroll", "healthPath": "/healthz", "maxConns": 100,
                  "protocol": "h1", "tls": False, "coldStartS": 0.0, "coldPerS": 0.0}],
    "routes": [{"name": "r-pay", "hostname": h.HOST, "prefix": "/pay/",
                "routeKind": "non_idempotent", "timeoutMs": 4000, "sloMs": 300,
                "priority": 2, "backend": "payroll", "attempts": 1, "public": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "t1", "apiKeys": ["key1"]}],
}


class Client:
    """Sends payments one after the other, on one connection while it is open."""

    def __init__(self, record, node, results):
        self.record, self.node, self.results = record, node, results

    async def run(self):
        connection = h.Connection(self.node.address("front"))
        while True:
            if not connection.is_open:
                try:
                    await connection.open()
                    connection.requests = 0
                except (OSError, asyncio.TimeoutError):
                    await asyncio.sleep(0.2)
                    continue
            request_id, kept = h.attempt_id(), connection.requests > 0
            self.record("client sends", request_id, "to", self.node.name,
                        "on a kept connection" if kept else "on a new connection")
            sent = h.now()
            answer = await connection.ask(
                "POST", "/pay/2f", {"Egretladder-Attempt-Id": request_id,
                                    "Egretladder-Key": "key1",
                                    "Egretladder-Deadline-Ms": 4000}, b"x" * 600)
            self.record("client got", answer.status or "no answer", "for", request_id)
            self.results.append((sent, request_id, kept, answer.status,
                                 h.now() - sent, self.node.name))
            await asyncio.sleep(0.05)


async def watch_nodes(nodes):
    """The platform starts a process that has ended again after a short delay."""
    while True:
        for node in nodes:
            if node.check_end() is not None:
                asyncio.get_running_loop().call_later(RESTART_S, node.start)
        await asyncio.sleep(0.05)


async def case(record, folder, nodes):
    net = h.pick_network()
    store = h.Store(record)
    await store.start(net + ".2:8223")
    await store.put("op/config", CONFIG)
    runners = [h.Runner(record, store, "i-%d" % i, "payroll",
                        "%s.%d:8080" % (net, 100 + i), work_ms=150, slots=12)
               for i in range(3)]
    for runner in runners:
        await runner.start()
    ips = ["%s.%d" % (net, 10 + i) for i in range(3)]
    seeds = ["%s:%d" % (ip, h.PORTS["control"]) for ip in ips]
    nodes += [h.Node(record, "n%d" % i, ip, seeds, store.address, folder)
              for i, ip in enumerate(ips)]
    for node in nodes:
        node.start()
    if not await h.wait_until_ready(nodes):
        record.say("the nodes never became ready")
        return h.COULD_NOT_RUN
    guard = asyncio.create_task(watch_nodes(nodes))
    results = []
    clients = [asyncio.create_task(Client(record, node, results).run())
               for node in nodes for _ in range(CLIENTS_PER_NODE)]
    await asyncio.sleep(5)
    begin = h.now()
    if h.TROUBLE:
        record.say("another writer writes servers/i-other: %d bytes that can't be read"
                   % len(UNREADABLE))
        await store.put("servers/i-other", UNREADABLE)
    await asyncio.sleep(10)
    for task in [guard, *clients]:
        task.cancel()
    await asyncio.gather(guard, *clients, return_exceptions=True)
    arrived = {}
    for runner in runners:
        for _, request_id in runner.arrivals:
            arrived[request_id] = runner.id
    lost = [row for row in results
            if row[2] and row[3] == 0 and row[1] in arrived and row[4] < 4]
    before = [row for row in results if row[0] < begin - 0.5]
    late = [row for row in results if row[0] > begin + 3]
    record.say("before: %d of %d served" % (sum(r[3] == 200 for r in before), len(before)))
    record.say("from 3 s after: %d of %d served" % (
        sum(r[3] == 200 for r in late), len(late)))
    record.say("ends by themselves:", {node.name: node.ends for node in nodes})
    record.say("requests from kept connections that were passed on to a sound runner, "
               "and whose connection was closed without an answer: %d (more than 3 "
               "break LOST)" % len(lost))
    if len(before) < 50 or sum(r[3] == 200 for r in before) < 0.9 * len(before):
        return h.COULD_NOT_RUN
    return h.BROKEN if len(lost) > 3 else h.HELD


h.run(FOLDER, case)
