"""A worker as a process of its own, so that a script can kill it.

Usage: slow_worker.py NAME HOST PIECES PAUSE_S. It prints its port, and a line for each request that it
begins and ends. Its answers have no length and end with their connection. On paths that begin with
/draft/ they are streams of events; each piece is one event, or one line of text.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import standins as s  # noqa: E402

NAME, HOST, PIECES, PAUSE_S = sys.argv[1], sys.argv[2], int(sys.argv[3]), float(sys.argv[4])


def piece(is_stream, number):
    last = " (the last)" if number == PIECES else ""
    text = f"piece {number} of {PIECES}{last}"
    return f"id: {number}\ndata: {text}\n\n".encode() if is_stream else f"{text}\n".encode()


async def connection(reader, writer):
    try:
        request = await s.read_request(reader)
        if request is None:
            return
        if request.headers.get(s.TARGET, NAME) != NAME:
            writer.write(s.response(421))
            return
        if request.target == "/healthz":
            writer.write(s.response(200, b"", [("Buckthornpier-Instance-Id", NAME)]))
            return
        attempt = request.headers.get(s.ATTEMPT)
        after = int(request.headers.get("last-event-id", "0"))
        is_stream = request.target.startswith("/draft/")
        print(f"runs {attempt} {request.target} after {after}", flush=True)
        kind = "text/event-stream" if is_stream else "text/plain"
        writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nConnection: close\r\n"
                      f"Buckthornpier-Attempt-Id: {attempt}\r\n"
                      f"Buckthornpier-Server-Seal: seal.{attempt}\r\n\r\n").encode())
        for number in range(after + 1, PIECES + 1):
            writer.write(piece(is_stream, number))
            await writer.drain()
            if number < PIECES:
                await asyncio.sleep(PAUSE_S)
        print(f"has answered {attempt}", flush=True)
    except ConnectionError:
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(connection, HOST, 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


asyncio.run(main())
