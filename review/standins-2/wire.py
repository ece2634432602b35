"""HTTP/1.1 with asyncio: a small server and a small client for the stand-ins."""

import asyncio
import json
import socket
import urllib.parse


class Request:
    """One request that a stand-in has read."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 413: "Payload Too Large",
           421: "Misdirected Request", 503: "Service Unavailable"}


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


class Server:
    """Serves HTTP on a loopback port.  @handler returns (status, object or
    bytes); None closes the connection without an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = 0
        self.connections = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=1 << 23)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Ends the server as the end of its process would."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()
        self.connections.clear()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                request = await read_request(reader)
                answer = await self.handler(request)
                if answer is None:
                    break
                status, content = answer
                kind = "application/octet-stream"
                if not isinstance(content, (bytes, bytearray)):
                    content = json.dumps(content).encode()
                    kind = "application/json"
                head = ("HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
                        "Content-Length: %d\r\n\r\n"
                        % (status, REASONS.get(status, "Answer"), kind,
                           len(content)))
                writer.write(head.encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


async def call(port, method, path, body=None, headers=None, timeout_s=5.0):
    """Returns (status, body as text).  The status is 0 without an answer."""
    try:
        return await asyncio.wait_for(
            _call(port, method, path, body, headers or {}), timeout_s)
    except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError,
            ValueError, IndexError):
        return 0, ""


async def _call(port, method, path, body, headers):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        data = b"" if body is None else body
        lines = ["%s %s HTTP/1.1" % (method, path)]
        all_headers = {"Host": "127.0.0.1", "Connection": "close",
                       "Content-Type": "application/json",
                       "Content-Length": str(len(data))}
        all_headers.update(headers)
        lines += ["%s: %s" % item for item in all_headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ", 2)[1])
        length = 0
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                length = int(value)
        text = (await reader.readexactly(length)).decode() if length else ""
        return status, text
    finally:
        writer.close()


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]
