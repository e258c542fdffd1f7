"""A zone is evacuated, and one answer of the store is lost: the one that tells a steward of it."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import stands

ZONES = ["zone-a", "zone-b", "zone-c"]
EVACUATE_S = 5.0   # evacuateMs
CONTACT_S = 3.0    # contactMs
CONFIG = {
    "version": 7,
    "routes": [{"name": "r-read", "host": "ledger.example", "pathPrefix": "/read/", "routeType": "idempotent",
                "timeoutMs": 4000, "targetLatencyMs": 300, "priority": 2, "service": "ledger", "maxAttempts": 2,
                "public": False}],
    "services": [{"name": "ledger", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": False,
                  "coldWindowS": 0.0, "coldPerS": 0.0}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
}


async def client(case, node, until):
    """Sends a request about every 100 ms to one node, each on a new connection."""
    number = 0
    while time.monotonic() < until:
        number += 1
        attempt = f"{node.name}-{number:04d}"
        raw = (f"GET /read/x{number} HTTP/1.1\r\nHost: ledger.example\r\nBuckthornpier-Attempt-Id: {attempt}\r\n"
               f"Buckthornpier-Deadline-Ms: 4000\r\nConnection: close\r\n\r\n").encode()
        at = case.record.now()
        try:
            status, headers, _body = await asyncio.wait_for(stands.call(node.host, node.callers, raw), 4)
            seal = headers.get("buckthornpier-server-seal", "none")
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
            status, seal = type(error).__name__, "none"
        case.sent[attempt] = (at, status)
        case.record.add(f"client sent {attempt} to {node.name}", at)
        case.record.add(f"client gets {status} for {attempt}, seal {seal}")
        await asyncio.sleep(0.1)


async def main(case):
    record = case.record
    store = stands.Store(record)
    await store.start()
    store.put("config", "main", CONFIG)
    case.sent = {}
    for number, zone in enumerate(ZONES):
        for index in range(2):
            worker = stands.Worker(record, store, f"i-{number}{index}", "ledger", zone, f"127.77.{number}.{10 + index}")
            await worker.start()
            case.workers.append(worker)
    for number, zone in enumerate(ZONES):
        for index in range(2):
            name = f"edge-{zone}-{index + 1}"
            address = await store.open_port(name)
            host = f"127.77.{number}.{1 + index}"
            node = stands.Node(record, address, name, zone, ZONES, host, case.temp)
            case.nodes.append(node)
            node.start()
    for node in case.nodes:
        if not await node.wait_ready():
            record.add(f"node {node.name} did not become ready")
            return 2
    record.add("all nodes are ready")
    until = time.monotonic() + 45
    clients = [asyncio.ensure_future(client(case, node, until)) for node in case.nodes]
    await asyncio.sleep(4)

    # The steward of zone-b, as the nodes' own record in the store names it.
    holder = store.objects["pier-nodes"]["steward.zone-b"]
    steward = next(node for node in case.nodes if holder["spec"]["holder"].startswith(node.name))
    record.add(f"steward of zone-b: {steward.name}")
    # A watch waits for 10 s; the evacuation comes early in one, as it does in most cases at a random moment.
    key = (steward.name, "/objects/evacuations", True)
    for _try in range(400):
        age = time.monotonic() - store.watches.get(key, 0)
        if key in store.watches and 0.3 < age < 1.5:
            break
        await asyncio.sleep(0.05)
    else:
        record.add("the steward's watch of the evacuations was not seen")
        return 2
    record.add(f"the steward's watch of the evacuations is {age:.2f} s old")

    def loses(label, method, path, query, status, answer):
        return label == steward.name and path == "/objects/evacuations" and "watch" in query and store.lost == 0
    if case.trouble:
        store.loses = loses
    before = store.answered
    store.put("evacuations", "zone-b", {})
    acked = record.now()
    record.add("the operator's evacuation of zone-b is acknowledged")
    await asyncio.sleep(4.5)
    store.loses = lambda *_call: False
    record.add(f"in these 4.5 s the store gave {store.answered - before} answers, {store.lost} of them lost")
    await asyncio.gather(*clients)

    bound = acked + EVACUATE_S
    late = []
    for worker in case.workers:
        if worker.zone == "zone-b":
            late += [run for run in worker.runs if run[0] > bound]
    late.sort()
    for at, attempt, _path in late[:5]:
        record.add(f"LATE: {attempt} (sent at {case.sent.get(attempt, ('?',))[0]:.3f}) reached zone-b "
                   f"{at - acked:.3f} s after the acknowledgement")
    last = f", the last {late[-1][0] - acked:.3f} s after the acknowledgement" if late else ""
    record.add(f"requests that reached workers of zone-b later than {EVACUATE_S} s: {len(late)}{last}")
    served = sum(1 for _at, status in case.sent.values() if status == 200)
    record.add(f"clients sent {len(case.sent)} requests, {served} of them got 200")
    if served < 100:
        return 2
    return 1 if late else 0


case = stands.Case(HERE)
case.run(main)
