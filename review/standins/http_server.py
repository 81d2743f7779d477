"""A small HTTP/1.1 server on asyncio, enough for the stand-ins of this folder."""

import asyncio
import json
from urllib.parse import parse_qsl, unquote, urlsplit

REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           503: "Service Unavailable"}


class Request:
    """One request: method, path, query (dict), headers (dict, lower-case names) and body."""

    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = unquote(parts.path)
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body or b"{}")


async def read_request(reader):
    """Returns the next request of a connection, or None at its end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def encode(status, body):
    """Returns the bytes of a response; BODY is bytes, or an object that becomes JSON."""
    kind = "application/octet-stream"
    if not isinstance(body, (bytes, bytearray)):
        body = json.dumps(body, separators=(",", ":")).encode()
        kind = "application/json"
    head = (f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Type: {kind}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n")
    return head.encode() + bytes(body)


def connection_handler(serve):
    """Returns a callback for asyncio.start_server().  SERVE is a coroutine that takes a request
    and returns (status, body)."""

    async def handle(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                writer.write(encode(*await serve(request)))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    return handle
