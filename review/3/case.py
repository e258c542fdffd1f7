"""All processes of the system are killed at the same moment, and are started again."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import engines  # noqa: E402
import standins as s  # noqa: E402

HOST = "senate.example"
# Two models of one service, with the sizes of their groups and their shares of the work.
MODELS = [("draft", 3, 0.4), ("draft-long", 2, 0.6)]
# A group of each, and one worker more for each.
WORKERS = 7
DOWN_S = 1.0
# recoverS of the site.
RECOVER_S = 12
REQUESTS = 40


async def ask(node, model, record):
    """Sends a request for a stream; returns whether it was served."""
    attempt = s.attempt_id()
    headers = [("Buckthornpier-Model-Id", model), ("Buckthornpier-Token-Usage", "700,30"),
               ("Buckthornpier-Prompt-Prefix", f"5c1e07a2:40,{attempt[-8:]}:660")]
    status, body = None, b""
    try:
        reader, writer = await asyncio.open_connection(node.ip, node.ports["callers"])
        writer.write(s.request_bytes("POST", "/letters/1", HOST, attempt, 4000, b"nominee", headers))
        head = await asyncio.wait_for(s.read_head(reader), 5)
        status = int(head[0].split()[1]) if head else None
        if status == 200:
            body = await asyncio.wait_for(s.read_body(reader, head[1]), 5)
        writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    record(f"client {attempt} {model} at {node.name}: {status}, {body.count(b'data:')} events")
    return status == 200 and body.count(b"data:") == 5


async def traffic(nodes, record):
    """Sends requests, nine of ten for the second model; returns how many were served, by model."""
    served = {name: 0 for name, _size, _share in MODELS}
    for number in range(REQUESTS):
        model = MODELS[0][0] if number % 10 == 0 else MODELS[1][0]
        served[model] += await ask(nodes[number % len(nodes)], model, record)
        await asyncio.sleep(0.1)
    return served


def log_groups(workers, record):
    for worker in workers:
        group = worker.group
        text = f"{group['name']}@{group['epoch']} rank {group['rank']} {group['state']}" if group else "no group"
        record(f"{worker.name} runs {worker.model} in {text}")


async def case(record, trouble, scratch, nodes):
    store = s.Store(record)
    await store.start()
    zone = "scot-central-a"
    workers = [engines.EngineWorker(f"i-letters{number}", "letters", zone, "fabric-a1", store, record)
               for number in range(1, WORKERS + 1)]
    for worker in workers:
        await worker.start()
    routes = [s.route("letters", HOST, "/letters/", "streaming", "letters", 4000, 400, 2,
                      streamResume=True, targetGapMs=250, sessionAffinity=True)]
    await store.put("config", "main", s.config(1, routes, [engines.engine_service_of("letters", MODELS)]))
    for number in (1, 2):
        nodes.append(s.Node(f"edge-{zone}-{number}", f"127.0.0.{10 + number}", zone, [zone],
                            store.address, scratch, record))
    for node in nodes:
        node.start()
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(8)
    log_groups(workers, record)
    before = await traffic(nodes, record)
    record(f"served before the fault: {before} of {REQUESTS}")
    if sum(before.values()) < REQUESTS * 0.9:
        raise s.CannotRun("requests aren't served before the fault")
    if trouble:
        for node in nodes:
            node.signal(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for node in nodes:
            node.start_again()
        for node in nodes:
            await node.wait_ready()
    back_at = time.monotonic()
    await asyncio.sleep(RECOVER_S + 1)
    after = await traffic(nodes, record)
    log_groups(workers, record)
    record(f"served from {RECOVER_S + 1} s after the machines were back: {after} of {REQUESTS}; "
           f"it is {time.monotonic() - back_at:.0f} s after that now")
    return sum(after.values()) * 4 < REQUESTS


s.main(case, FOLDER)
