"""Stand-ins for the platform's store, the workers and the clients, for the scripts of the review.

They follow PROTOCOL.md: HTTP/1.1 with JSON bodies, objects with revisions and watches, workers that
register themselves and echo `Buckthornpier-Attempt-Id`. All addresses are loopback addresses.
"""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "buckthornpier")
TEMPLATE = os.path.join(ROOT, "deploy", "edge.ini")

ATTEMPT = "buckthornpier-attempt-id"
SEAL = "buckthornpier-server-seal"
DEADLINE = "buckthornpier-deadline-ms"
TARGET = "buckthornpier-target-instance"
NOT_RUN = "buckthornpier-not-executed"

STARTED = time.monotonic()

# A case may take 120 s.
CASE_LIMIT_S = 110


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - STARTED:9.3f} {text}\n")


# HTTP


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Returns the first line and the headers, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0].strip() or b"0", 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _version = line.split(" ", 2)
    try:
        body = await read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


REASONS = {200: "OK", 201: "Created", 202: "Accepted", 400: "Bad Request", 404: "Not Found",
           409: "Conflict", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable"}


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    """Ends a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


# The platform's store


class Store:
    """Objects with revisions, lists and watches; answers after `delay` seconds."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}
        self.history = []
        self.waiting = set()
        self.delay = 0.004
        self.log_calls = False
        self.writes = []

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.connection, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def connection(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                status, body = await self.answer(request, writer)
                await asyncio.sleep(self.delay)
                data = b"" if body is None else json.dumps(body).encode()
                writer.write(response(status, data, [("Content-Type", "application/json")]))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request, writer):
        url = urllib.parse.urlsplit(request.target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        parts = url.path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) < 2:
            return 404, None
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        if request.method == "GET" and name is None:
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", "0")))
            entries = [o for (k, _n), o in sorted(self.objects.items()) if k == kind]
            return 200, {"entries": entries, "hasMore": False, "at": self.revision}
        if request.method == "GET":
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, None)
        given = json.loads(request.body) if request.body else {}
        revision = given.get("metadata", {}).get("revision", query.get("revision"))
        return await self.write(request.method, kind, name, given.get("spec"), revision)

    async def write(self, method, kind, name, spec, revision):
        known = self.objects.get((kind, name))
        if method == "POST" and known:
            return 409, known
        if method in ("PUT", "DELETE") and not known:
            return 404, None
        if revision is not None and known and known["metadata"]["revision"] != int(revision):
            return 409, known
        self.writes.append((time.monotonic(), method, kind, name, spec))
        if method == "DELETE":
            await self.put(kind, name, None)
            return 200, known
        return (201 if method == "POST" else 200), await self.put(kind, name, spec)

    async def put(self, kind, name, spec):
        """Writes an object, as the operator or a worker does; None removes it."""
        known = self.objects.get((kind, name))
        if spec is not None and known and known["spec"] == spec:
            return known
        if spec is None and known is None:
            return None
        self.revision += 1
        if spec is None:
            item = self.objects.pop((kind, name))
        else:
            created = known["metadata"]["createdRev"] if known else self.revision
            metadata = {"name": name, "revision": self.revision, "createdRev": created,
                        "finalizers": [], "deletionPending": False}
            item = {"metadata": metadata, "spec": spec, "status": None}
            self.objects[(kind, name)] = item
        self.history.append((self.revision, kind, {"deleted": spec is None, "object": item}))
        for future in self.waiting:
            if not future.done():
                future.set_result(None)
        return item

    async def watch(self, kind, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [e for revision, k, e in self.history if revision > after and k == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            future = asyncio.get_running_loop().create_future()
            self.waiting.add(future)
            await asyncio.wait([future], timeout=left)
            self.waiting.discard(future)


# Workers


class Worker:
    """A worker of a plain service. `run` is an async function that is given the request and the
    connection's writer, and returns (status, body), or None if it has answered by itself."""

    def __init__(self, name, service, zone, record, run=None, slots=6):
        self.name, self.service, self.zone = name, service, zone
        self.record = record
        self.run = run or self.echo
        self.slots = slots
        self.runs = []
        self.born = int(time.time() * 1000)
        self.writers = set()
        self.state = "ready"
        self.extra = {}

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.connection, host, port, limit=16 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def entry(self):
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": 0,
                 "seq": 1, "born": self.born}
        entry.update(self.extra)
        return entry

    async def echo(self, request, _writer):
        return 200, b"x" * 800

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                if request.headers.get(TARGET, self.name) != self.name:
                    writer.write(response(421, b"", [("Buckthornpier-Instance-Id", self.name)]))
                    continue
                if request.target == "/healthz":
                    writer.write(response(200, b"", [("Buckthornpier-Instance-Id", self.name)]))
                    continue
                attempt = request.headers.get(ATTEMPT)
                if not attempt:
                    writer.write(response(400, b"", [(NOT_RUN, "1")]))
                    continue
                self.runs.append((time.monotonic(), attempt, request))
                self.record(f"{self.name} runs {attempt} {request.method} {request.target}")
                result = await self.run(request, writer)
                if result is not None:
                    status, body = result
                    writer.write(response(status, body, self.marks(attempt)))
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def marks(self, attempt):
        return [("Buckthornpier-Attempt-Id", attempt), ("Buckthornpier-Server-Seal", f"seal.{attempt}")]


# Nodes


def free_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Node:
    """The project's own program, started with the command of the deploy file."""

    def __init__(self, name, ip, zone, zones, store, folder, record, first_start=True, memory_mib=260):
        self.name, self.ip, self.record = name, ip, record
        ports = {}
        while len(set(ports.values())) < 5:
            ports = {part: free_port(ip) for part in ("callers", "readiness", "peers", "forwards", "metrics")}
        self.ports = ports
        self.settings = os.path.join(folder, f"{name}.ini")
        self.log_path = os.path.join(folder, f"{name}.log")
        fields = {"nodeName": name, "zone": zone, "bootstrap": str(first_start).lower(),
                  "listen.frontend": f"{ip}:{ports['callers']}", "listen.readiness": f"{ip}:{ports['readiness']}",
                  "{peers}": f"{ip}:{ports['peers']}", "{forwards}": f"{ip}:{ports['forwards']}",
                  "{metrics}": f"{ip}:{ports['metrics']}", "platform.address": store,
                  "limits.memoryMb": memory_mib, "limits.cpuQuota": 0.25, "bounds.graceS": 8,
                  "bounds.drainMs": 2000, "bounds.retryRatio": 0.2, "bounds.retrySlack": 130,
                  "bounds.retryWindowS": 10}
        self.fields, self.zones = fields, zones
        self.write_settings()
        self.process = None

    def write_settings(self):
        """Fills in the settings template of the deploy file, as the platform does at each start."""
        fields = self.fields
        with open(TEMPLATE) as file:
            text = file.read()
        text = re.sub(r"\{\{#zones\}\}.*?\{\{/zones\}\}", ",".join(self.zones), text)
        text = text.replace("{{ip}}:{{portRange.0}}", fields["{peers}"])
        text = text.replace("{{ip}}:{{portRange.1}}", fields["{forwards}"])
        text = text.replace("{{ip}}:9464", fields["{metrics}"])
        text = re.sub(r"\{\{([a-zA-Z.]+)\}\}", lambda match: str(fields[match.group(1)]), text)
        with open(self.settings, "w") as file:
            file.write(text)

    def start(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program is not built")
        log = open(self.log_path, "ab")
        command = [PROGRAM, "edge", "--settings", self.settings]
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.record(f"node {self.name} starts, process {self.process.pid}")

    def start_again(self):
        """Starts the process again after its end; the whole system doesn't start for the first time."""
        self.process.wait()
        self.fields["bootstrap"] = "false"
        self.write_settings()
        self.start()

    def signal(self, number):
        self.record(f"node {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def memory_mib(self):
        """Returns the resident memory, or 0 once the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                found = re.search(r"VmRSS:\s+(\d+)", file.read())
        except OSError:
            return 0
        return int(found.group(1)) / 1024 if found else 0

    async def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.ports["readiness"])
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head and " 200 " in head[0]:
                    self.record(f"node {self.name} is ready")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"node {self.name} is not ready")


# Clients

_number = 0


def attempt_id():
    global _number
    _number += 1
    return f"{os.getpid():08x}{_number:08x}"


def request_bytes(method, path, host, attempt, deadline_ms, body=b"", headers=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Buckthornpier-Attempt-Id: {attempt}",
             f"Buckthornpier-Deadline-Ms: {deadline_ms}"]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def config(version, routes, services, limits=None, tenants=None):
    document = {"version": version, "routes": routes, "services": services,
                "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                                     "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
    if tenants is not None:
        document["tenants"] = tenants
    return document


def route(name, host, prefix, kind, service, timeout_ms, latency_ms, attempts=1, **more):
    found = {"name": name, "host": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeout_ms,
             "targetLatencyMs": latency_ms, "priority": 1, "service": service, "maxAttempts": attempts,
             "public": True}
    found.update(more)
    return found


def service(name, connections=96):
    return {"name": name, "healthPath": "/healthz", "maxConns": connections, "protocol": "h1",
            "tls": False, "coldWindowS": 0.0, "coldPerS": 0.0}


def main(case, folder):
    """Runs a case, and exits with 0, 1 or 2; ends the processes that it started."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    nodes = []
    code = 2

    def end(code):
        for node in nodes:
            node.stop()
        record(f"exit {code}")
        # Open connections need no orderly end.
        os._exit(code)

    with tempfile.TemporaryDirectory() as scratch:

        async def run():
            return await asyncio.wait_for(case(record, trouble, scratch, nodes), CASE_LIMIT_S)

        loop = asyncio.new_event_loop()
        try:
            broken = loop.run_until_complete(run())
            code = 1 if broken else 0
        except Exception as error:  # pylint: disable=broad-except
            record(f"cannot run: {error!r}")
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for node in nodes:
                subprocess.run(["cp", node.log_path, keep], check=False)
    end(code)
