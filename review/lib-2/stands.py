"""Stand-ins for the platform's store, the workers and the clients, and a starter of nodes.

Everything runs on loopback addresses. The store keeps to PROTOCOL.md, "The platform's metadata store":
linearizable answers, one revision counter, conditional writes, lists, watches. A worker keeps to
"Workers" there. Only the Python standard library is used.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

TEXT = {200: "OK", 201: "Created", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
        410: "Gone", 421: "Misdirected Request", 429: "Too Many Requests", 500: "Internal Server Error",
        503: "Service Unavailable", 504: "Gateway Timeout"}


class Record:
    """Collects what was sent, answered and run; written to record.txt at the end."""

    def __init__(self):
        self.started = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.started

    def add(self, text, at=None):
        self.lines.append(f"{self.now() if at is None else at:9.3f}  {text}")

    def write(self, path):
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


async def read_head(reader):
    """Reads the head of a request or an answer; returns its first line and its headers."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, to_end=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0].strip(), 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if to_end else b""


def answer_bytes(status, headers, body):
    lines = [f"HTTP/1.1 {status} {TEXT.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store. `loses(node, method, path, query, status, body)` says whether an answer is lost."""

    def __init__(self, record, era=None):
        self.record = record
        self.revision = 100
        self.objects = {}
        self.events = {}
        self.changed = asyncio.Event()
        self.era = era
        self.loses = lambda *_call: False
        self.delay = lambda *_call: 0.0
        self.refuses = lambda *_call: None
        self.oldest = 0
        self.watches = {}
        self.servers = []
        self.lost = 0
        self.answered = 0

    async def start(self, host="127.0.0.1"):
        self.address = await self.open_port(None, host)

    async def open_port(self, label, host="127.0.0.1"):
        """Opens a further port of the same store, so that it knows by `label` which node calls."""
        server = await asyncio.start_server(lambda r, w: self.serve(r, w, label), host, 0, backlog=256)
        self.servers.append(server)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    def kind(self, kind):
        return self.objects.setdefault(kind, {}), self.events.setdefault(kind, [])

    def put(self, kind, name, spec):
        """Writes an object as the operator or a worker; returns its revision."""
        objects, events = self.kind(kind)
        known = objects.get(name)
        if known and known["spec"] == spec:
            return known["metadata"]["revision"]
        self.revision += 1
        created = known["metadata"]["createdRev"] if known else self.revision
        object_ = {"metadata": {"name": name, "revision": self.revision, "createdRev": created,
                                "finalizers": [], "deletionPending": False},
                   "spec": spec, "status": known["status"] if known else None}
        objects[name] = object_
        events.append((self.revision, {"deleted": False, "object": object_}))
        self.wake()
        return self.revision

    def delete(self, kind, name):
        objects, events = self.kind(kind)
        object_ = objects.pop(name, None)
        if object_ is None:
            return
        self.revision += 1
        gone = dict(object_, metadata=dict(object_["metadata"], revision=self.revision))
        events.append((self.revision, {"deleted": True, "object": gone}))
        self.wake()

    def wake(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def watch(self, kind, since, wait):
        objects, events = self.kind(kind)
        if since < self.oldest or since > self.revision:
            return 410, b"{}"
        ends = time.monotonic() + wait / 1000.0
        while True:
            found = [event for revision, event in events if revision > since]
            if found:
                return 200, json.dumps({"events": found, "at": self.revision}).encode()
            left = ends - time.monotonic()
            if left <= 0:
                return 200, json.dumps({"events": [], "at": self.revision}).encode()
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, path, query, body):
        parts = [urllib.parse.unquote(part) for part in path.strip("/").split("/")]
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        objects, _events = self.kind(kind)
        if method == "GET" and name is None:
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", "0")))
            names = sorted(name for name in objects if name > query.get("after", ""))
            page = names[:500]
            return 200, json.dumps({"entries": [objects[name] for name in page],
                                    "hasMore": len(names) > len(page), "at": self.revision}).encode()
        if method == "GET":
            known = objects.get(name)
            return (200, json.dumps(known).encode()) if known else (404, b"{}")
        if method == "DELETE":
            self.delete(kind, name)
            return 200, b"{}"
        sent = json.loads(body)
        wanted = (sent.get("metadata") or {}).get("revision")
        if wanted is None and "revision" in query:
            wanted = int(query["revision"])
        name = name or sent["metadata"]["name"]
        known = objects.get(name)
        if method == "POST":
            if known:
                return 409, json.dumps(known).encode()
        elif known is None:
            return 404, b"{}"
        elif wanted is not None and wanted != known["metadata"]["revision"]:
            return 409, json.dumps(known).encode()
        self.put(kind, name, sent["spec"])
        return (201 if method == "POST" else 200), json.dumps(objects[name]).encode()

    async def serve(self, reader, writer, label=None):
        is_silent = False
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _version = line.split(" ")
                path, _sep, rest = target.partition("?")
                query = dict(urllib.parse.parse_qsl(rest))
                if is_silent:
                    continue
                key = (label, path, "watch" in query)
                self.watches[key] = time.monotonic()
                refused = self.refuses(label, method, path, query)
                wait = self.delay(label, method, path, query)
                if wait:
                    await asyncio.sleep(wait)
                if refused:
                    status, answer = refused, b"{}"
                else:
                    handling = asyncio.ensure_future(self.handle(method, path, query, body))
                    leaving = asyncio.ensure_future(reader.read(1)) if "watch" in query else None
                    if leaving:
                        # A caller that leaves ends its watch.
                        await asyncio.wait([handling, leaving], return_when=asyncio.FIRST_COMPLETED)
                        if not handling.done():
                            handling.cancel()
                            return
                        leaving.cancel()
                        try:
                            await leaving
                        except asyncio.CancelledError:
                            pass
                    status, answer = await handling
                self.watches.pop(key, None)
                self.answered += 1
                if self.loses(label, method, path, query, status, answer):
                    self.lost += 1
                    self.record.add(f"store loses its answer {status} to {label}: {method} {target} ({answer[:160].decode()})")
                    is_silent = True
                    continue
                extra = [("Content-Type", "application/json")]
                if self.era is not None:
                    extra.append(("Store-Era", str(self.era)))
                writer.write(answer_bytes(status, extra, answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Worker:
    """A worker of a plain service, which registers itself and runs requests."""

    def __init__(self, record, store, name, service, zone, host, slots=16, work=0.02):
        self.record, self.store, self.name = record, store, name
        self.service, self.zone, self.host = service, zone, host
        self.slots, self.work = slots, work
        self.seq = 0
        self.state = "ready"
        self.cold_ms = 0
        self.keep_alive_s = 10
        self.born = int(time.time() * 1000)
        self.runs = []
        self.extra = []
        self.respond = None
        self.requests = 0
        self.open = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.host, port, backlog=512)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.beat()
        self.beats = asyncio.get_running_loop().create_task(self.keep_beating())

    def beat(self):
        self.seq += 1
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "coldLeftMs": self.cold_ms, "seq": self.seq,
            "born": self.born})

    async def keep_beating(self):
        while True:
            await asyncio.sleep(1.2)
            self.beat()

    def head(self, attempt):
        seal = f"{self.name}.{attempt}.{self.requests}"
        return [("Buckthornpier-Attempt-Id", attempt), ("Buckthornpier-Server-Seal", seal),
                ("Keep-Alive", f"timeout={self.keep_alive_s}")] + self.extra

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _version = line.split(" ")
                attempt = headers.get("buckthornpier-attempt-id", "")
                meant = headers.get("buckthornpier-target-instance")
                if path == "/healthz":
                    writer.write(answer_bytes(200, [("Buckthornpier-Instance-Id", self.name)] + self.extra, b""))
                elif meant is not None and meant != self.name:
                    writer.write(answer_bytes(421, [("Buckthornpier-Instance-Id", self.name)], b""))
                else:
                    self.requests += 1
                    at = self.record.now()
                    if self.respond is not None:
                        done = await self.respond(self, reader, writer, method, path, headers, body, at)
                        if not done:
                            return
                    else:
                        self.run(at, attempt, method, path, headers)
                        await asyncio.sleep(self.work)
                        writer.write(answer_bytes(200, self.head(attempt), b"done by " + self.name.encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    def run(self, at, attempt, method, path, headers):
        self.runs.append((at, attempt, path))
        self.record.add(f"worker {self.name} ({self.zone}) runs {attempt} {method} {path}", at)


def free_port(host, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Node:
    """One node, started as the deploy file says, with settings filled in from deploy/edge.ini."""

    def __init__(self, record, store, name, zone, zones, host, folder, bounds=None, memory=260):
        self.record, self.store, self.name, self.zone, self.host = record, store, name, zone, host
        bounds = dict({"grace": 8, "drain": 2000, "ratio": 0.2, "burst": 130, "window": 10}, **(bounds or {}))
        ports = []
        while len(ports) < 5:
            port = free_port(host)
            if port not in ports:
                ports.append(port)
        self.callers, self.readiness, self.peers, self.forwards, self.metrics = ports
        self.path = os.path.join(folder, f"{name}.ini")
        self.log_path = os.path.join(folder, f"{name}.log")
        self.zones = zones
        self.text = f"""[node]
name = {name}
data_centre = {zone}
data_centres = {','.join(zones)}
first_start = FIRST

[listen]
callers = {host}:{self.callers}
readiness = {host}:{self.readiness}
peers = {host}:{self.peers}
forwards = {host}:{self.forwards}
metrics = {host}:{self.metrics}

[platform]
store = {store}

[limits]
memory_mib = {memory}
cores = 0.25

[bounds]
grace_seconds = {bounds['grace']}
leaving_ms = {bounds['drain']}
retry_ratio = {bounds['ratio']}
retry_burst = {bounds['burst']}
retry_window_seconds = {bounds['window']}

[log]
level = info
"""
        self.process = None

    def start(self, first=True):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(self.text.replace("FIRST", "true" if first else "false"))
        self.log = open(self.log_path, "ab")
        root = os.environ["ROOT"]
        self.process = subprocess.Popen(
            [os.path.join(root, "target/release/buckthornpier"), "edge", "--settings", self.path],
            cwd=root, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record.add(f"node {self.name} ({self.zone}) is started")

    def signal(self, number):
        self.record.add(f"node {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(
                call(self.host, self.readiness, b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"), 1)
            return answer[0] == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit=15):
        ends = time.monotonic() + limit
        while time.monotonic() < ends:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


async def call(host, port, raw):
    """Sends raw bytes on a new connection; returns status, headers and body of the answer."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(raw)
        await writer.drain()
        line, headers = await read_head(reader)
        body = await read_body(reader, headers, to_end=True)
        return int(line.split(" ")[1]), headers, body
    finally:
        writer.close()


class Case:
    """What every script has in common: a folder, the stand-ins, the nodes, and the end of all of them."""

    def __init__(self, folder):
        self.folder = folder
        self.temp = tempfile.mkdtemp(prefix="pier-review-")
        self.record = Record()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.nodes = []
        self.workers = []

    async def finish(self):
        # Connections that are cancelled as the loop closes are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        for node in self.nodes:
            node.stop()
        for worker in self.workers:
            worker.beats.cancel()

    def run(self, main, limit=115):
        code = 2
        try:
            code = asyncio.run(asyncio.wait_for(self.guard(main), limit))
        except asyncio.TimeoutError:
            self.record.add("the case ran out of time")
        finally:
            for node in self.nodes:
                node.stop()
            self.record.add(f"exit {code} (1: the rule was broken, 0: it held, 2: the case could not run)")
            self.record.write(os.path.join(self.folder, os.environ.get("RECORD", "record.txt")))
            if os.environ.get("KEEP_LOGS"):
                print(self.temp, file=sys.stderr)
            else:
                shutil.rmtree(self.temp, ignore_errors=True)
        sys.exit(code)

    async def guard(self, main):
        try:
            return await main(self)
        finally:
            await self.finish()
