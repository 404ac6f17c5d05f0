"""A small HTTP client with persistent connections and streamed answers."""
import asyncio

from standin import read_head


class ConnectionClosed(EOFError):
    """The connection closed before the end of the answer."""


class Connection:
    """A persistent connection, which carries one request at a time."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.used = 0        # requests sent on it
        self.open = True

    def close(self):
        self.open = False
        self.writer.transport.abort()

    async def send(self, method, path, body, headers):
        head = ("%s %s HTTP/1.1\r\nHost: h.example\r\n"
                "Content-Length: %d\r\n") % (method, path, len(body))
        for name, value in (headers or {}).items():
            head += "%s: %s\r\n" % (name, value)
        self.used += 1
        self.writer.write(head.encode() + b"\r\n" + body)

    async def head(self):
        """Reads the head of an answer; returns (status, headers)."""
        got = await read_head(self.reader)
        if not got:
            self.close()
            raise ConnectionClosed
        line, fields = got
        if fields.get("connection") == "close":
            self.open = False
        return int(line.split(" ")[1]), fields

    async def parts(self, fields):
        """Yields the parts of a body as they arrive."""
        try:
            if fields.get("transfer-encoding") != "chunked":
                yield await self.reader.readexactly(
                    int(fields.get("content-length", 0)))
                return
            while True:
                size = int((await self.reader.readline()).strip() or b"-1", 16)
                if size < 0:
                    raise ConnectionClosed
                chunk = await self.reader.readexactly(size + 2)
                if size == 0:
                    return
                yield chunk[:-2]
        except (asyncio.IncompleteReadError, ConnectionError,
                ConnectionClosed) as e:
            self.close()
            raise ConnectionClosed from e


async def connect(addr):
    host, port = addr.split(":")
    return Connection(*await asyncio.open_connection(host, int(port)))


async def http(addr, method, path, body=b"", headers=None):
    """Sends a request on a new connection; returns (status, headers, body)."""
    c = await connect(addr)
    try:
        await c.send(method, path, body, headers)
        status, fields = await c.head()
        got = b"".join([p async for p in c.parts(fields)])
        return status, fields, got
    finally:
        c.close()
