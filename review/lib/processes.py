"""Workers as processes of their own, and clients that read an answer to the end that it shows."""

import asyncio
import os
import signal
import sys
import time

import standins as s


class WorkerProcess:
    """A worker of `slow_worker.py`, whose answers have no length."""

    def __init__(self, name, service, zone, record, pieces, pause_s):
        self.name, self.service, self.zone, self.record = name, service, zone, record
        self.pieces, self.pause_s = pieces, pause_s
        self.born = int(time.time() * 1000)

    async def start(self):
        script = os.path.join(os.path.dirname(os.path.abspath(__file__)), "slow_worker.py")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", script, self.name, "127.0.0.1", str(self.pieces), str(self.pause_s),
            stdout=asyncio.subprocess.PIPE)
        line = await self.process.stdout.readline()
        self.address = f"127.0.0.1:{int(line)}"
        self.reading = asyncio.create_task(self.read())

    async def read(self):
        while line := await self.process.stdout.readline():
            self.record(f"{self.name} {line.decode().strip()}")

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": 26, "state": state, "coldLeftMs": 0, "seq": 1, "born": self.born}

    async def kill(self):
        if self.process.returncode is None:
            self.record(f"{self.name} is killed")
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()


async def client(node, host, path, record, pieces, ends):
    """Sends a request and reads its answer to the end that its framing shows."""
    attempt = s.attempt_id()
    reader, writer = await asyncio.open_connection(node.ip, node.ports["callers"])
    writer.write(s.request_bytes("POST", path, host, attempt, 8000, b"nominee"))
    record(f"client sends {attempt} {path}")
    status, body, is_complete = None, b"", False
    try:
        head = await asyncio.wait_for(s.read_head(reader), 8)
        if head is None:
            how = "closed without an answer"
        else:
            status, headers = int(head[0].split()[1]), head[1]
            if "chunked" in headers.get("transfer-encoding", ""):
                while True:
                    size = int((await asyncio.wait_for(reader.readline(), 8)).strip() or b"none", 16)
                    chunk = await asyncio.wait_for(reader.readexactly(size + 2), 8)
                    if size == 0:
                        break
                    body += chunk[:-2]
            else:
                body = await asyncio.wait_for(s.read_body(reader, headers), 8)
            is_complete = True
            how = "its framing shows a complete answer"
    except (ValueError, ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        how = f"broken off: {error!r}"
    writer.close()
    count = body.count(b"piece")
    record(f"client {attempt} {path} ends: status {status}, {count} of {pieces} pieces, {how}")
    is_whole = b"(the last)" in body and count == pieces
    ends.append((path, status, is_complete, is_whole))


def look_complete(ends):
    """Returns the answers with success that look complete and are not the worker's whole answer."""
    return [end for end in ends if end[1] == 200 and end[2] and not end[3]]
