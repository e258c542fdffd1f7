"""Workers that serve a model in groups, as PROTOCOL.md describes them, in the script's own process."""

import asyncio
import json
import time

import standins as s

# Times of a load from the weight store, from the host, and of the start of serving, in seconds.
LOAD_S, WARM_S, REJOIN_S, FORM_S = 1.2, 0.3, 0.2, 0.3


class EngineWorker:
    """One worker. It tells the store of each change, and `record` of orders and runs."""

    def __init__(self, name, service, zone, domain, store, record, events=5, pause_s=0.05):
        self.name, self.service, self.zone, self.domain = name, service, zone, domain
        self.store, self.record = store, record
        self.events, self.pause_s = events, pause_s
        self.born = int(time.time() * 1000)
        self.seq, self.group, self.model, self.staged, self.seen = 0, None, None, [], 0
        self.runs = []

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.connection, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        await self.register()

    def standing(self):
        standing = {"phase": "prefill_decode", "busy": False, "domain": self.domain,
                    "preloaded": self.staged, "born": self.born,
                    "models": [{"name": self.model, "version": 1, "loras": []}] if self.model else []}
        if self.group:
            standing["group"] = {key: self.group[key] for key in ("name", "epoch", "rank", "state")}
        return standing

    async def register(self):
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                 "slots": 26, "state": "ready", "coldLeftMs": 0, "seq": 1}
        entry.update(self.standing())
        await self.store.put("servers", self.name, entry)

    async def order(self, order):
        operation, group, epoch = order["operation"], order.get("group"), order.get("epoch", 0)
        if order.get("expectedRev", self.seq) != self.seq:
            return 409
        own = self.group and self.group["name"] == group and self.group["epoch"] == epoch
        if operation == "join":
            members = order["members"]
            if epoch < self.seen or (own and self.group["members"] != members):
                return 412
            if own:
                return 200
            self.seen, self.seq = epoch, self.seq + 1
            model = order["modelId"]
            takes = REJOIN_S if self.model == model else WARM_S if model in self.staged else LOAD_S
            self.group = {"name": group, "epoch": epoch, "rank": members.index(self.name),
                          "state": "joining", "members": members}
            self.model, self.staged = model, [model]
            asyncio.create_task(self.become(self.group, "ready", takes))
        elif operation == "open":
            if not own or self.group["rank"] != 0 or self.group["state"] not in ("ready", "open"):
                return 409
            if self.group["state"] == "open":
                return 200
            self.seq += 1
            asyncio.create_task(self.become(self.group, "open", FORM_S))
        elif operation == "leave":
            if not own:
                return 200
            self.seq, self.group = self.seq + 1, None
        else:
            return 400
        await self.register()
        return 202

    async def become(self, group, state, seconds):
        await asyncio.sleep(seconds)
        if self.group is group:
            group["state"] = state
            await self.register()

    async def connection(self, reader, writer):
        try:
            while True:
                request = await s.read_request(reader)
                if request is None:
                    return
                if request.headers.get(s.TARGET, self.name) != self.name:
                    writer.write(s.response(421))
                elif request.target == "/report":
                    report = {"seq": self.seq, "pace": 1.0, "queued": 0, "active": 0, "kvInUse": 0,
                              "kvSize": 2470000, "kvHandles": 0, **self.standing()}
                    writer.write(s.response(200, json.dumps(report).encode(), [("Content-Type", "application/json")]))
                elif request.target == "/order":
                    order = json.loads(request.body)
                    status = await self.order(order)
                    self.record(f"{self.name} order {order['operation']} {order.get('group')}@{order.get('epoch')}: {status}")
                    writer.write(s.response(status))
                elif not self.group or self.group["rank"] != 0 or self.group["state"] != "open":
                    writer.write(s.response(421, b"", [(s.NOT_RUN, "1")]))
                else:
                    await self.stream(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def stream(self, request, writer):
        attempt = request.headers.get(s.ATTEMPT)
        self.runs.append((time.monotonic(), attempt))
        self.record(f"{self.name} runs {attempt} {request.target}")
        writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                      f"Buckthornpier-Attempt-Id: {attempt}\r\nBuckthornpier-Server-Seal: seal.{attempt}\r\n\r\n").encode())
        after = int(request.headers.get("last-event-id", "0"))
        for number in range(after + 1, self.events + 1):
            event = f"id: {number}\ndata: {number} of {self.events}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")


def engine_service(name, model, size):
    """Returns a service of the configuration whose workers serve one model in groups."""
    return engine_service_of(name, [(model, size, 1.0)])


def engine_service_of(name, models):
    """The same for several models, each with its name, size and share of the work."""
    found = s.service(name, 464)
    found["runtime"] = {
        "slots": 26, "kvCapacity": 2470000, "kvTokenBytes": 35136, "linkMbps": 400000.0, "stride": 6,
        "models": [{"name": model, "size": size, "workShare": share, "pace": 1.0, "loadS": LOAD_S,
                    "warmupS": WARM_S} for model, size, share in models],
        "step_ms": 6.45, "per_seq_ms": 0.0967, "context_per_k": 0.00293, "read_per_s": 56100.0,
        "pairs_per_m": 0.309, "chunk": 2048, "report_lag_ms": 200.0, "loadsPerS": 5.5, "loads_at_once": 8,
        "delays": [], "usual": {"prompt": 1115, "answer": 30}, "cacheSlots": 1, "far_x": 2.5,
        "formMs": FORM_S * 1000}
    return found
