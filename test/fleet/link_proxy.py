"""A TCP proxy that injects network faults, in this process or another one.

In a process of its own it carries the links of control VMs: heartbeats and
elections there must not wait for callers and engines in the soak's own loop.
Run as a program it executes the commands of its standard input, one JSON list
a line, and ends with it.
"""
import asyncio
import json
import os
import sys

TO_SERVER, TO_CLIENT = "to server", "to client"


class ProxiedConnection:
    """A connection through a proxy, as its pair of stream writers."""

    def __init__(self, client, server, dropping):
        self.client, self.server = client, server
        self.dropping = set(dropping)  # directions whose bytes are dropped


class Proxy:
    """A TCP proxy that delays, drops, refuses and resets on request."""

    def __init__(self, name, ip, port, target):
        # name: of the process or server behind the proxy.
        self.name, self.ip, self.port, self.target = name, ip, port, target
        self.connections = []
        self.delay = 0.0     # seconds for which data is held back
        self.refuse = False
        self.server = None
        self.dropping = set()  # directions whose bytes new connections drop

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port)

    async def close(self):
        """Refuses connections, as a port without a process, and resets the
        open ones.
        """
        self.server.close()
        self.reset()
        await self.server.wait_closed()

    async def forward(self, reader, writer, connection, direction):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if self.delay:
                    await asyncio.sleep(self.delay)
                if direction in connection.dropping:
                    continue  # drop the bytes; both sides stay open
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        if direction not in connection.dropping:
            writer.close()

    async def serve(self, reader, writer):
        if self.refuse:
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            r, w = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        connection = ProxiedConnection(writer, w, self.dropping)
        self.connections.append(connection)
        await asyncio.gather(self.forward(reader, w, connection, TO_SERVER),
                             self.forward(r, writer, connection, TO_CLIENT))
        self.connections.remove(connection)

    def set_delay(self, seconds):
        self.delay = seconds

    def set_refuse(self, on):
        self.refuse = on

    def reset(self):
        for connection in self.connections:
            connection.client.transport.abort()
            connection.server.transport.abort()

    def silence(self, *directions):
        """Drops all further bytes of the open connections in these directions.
        """
        for connection in self.connections:
            connection.dropping |= set(directions)

    def drop(self, direction, on):
        """Sets whether new connections drop the bytes of a direction."""
        (self.dropping.add if on else self.dropping.discard)(direction)


class ProxyProcess:
    """A process that runs proxies."""

    def __init__(self):
        self.proc = None

    async def start(self):
        self.proc = await asyncio.create_subprocess_exec(
            sys.executable, __file__, stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE)

    def send(self, *command):
        if self.proc.returncode is None:
            self.proc.stdin.write(json.dumps(command).encode() + b"\n")

    async def add(self, *proxy):
        self.send("add", *proxy)
        line = await self.proc.stdout.readline()
        assert line == b"added\n", "a proxy process ended by itself"

    async def end(self):
        """Ends the process, which closes all its connections."""
        if self.proc:
            self.proc.stdin.close()
            await self.proc.wait()


class RemoteProxy:
    """A Proxy in another process; faults take effect a moment later."""

    def __init__(self, process, name, ip, port, target):
        self.process, self.name = process, name
        self.ip, self.port, self.target = ip, port, target
        self.server = None   # listens in the other process

    async def start(self):
        await self.process.add(self.name, self.ip, self.port, self.target)

    def tell(self, method, *args):
        self.process.send(method, self.ip, self.port, *args)

    def set_delay(self, seconds):
        self.tell("set_delay", seconds)

    def set_refuse(self, on):
        self.tell("set_refuse", on)

    def reset(self):
        self.tell("reset")

    def silence(self, *directions):
        self.tell("silence", *directions)

    def drop(self, direction, on):
        self.tell("drop", direction, on)


async def execute_commands():
    """Runs proxies as standard input tells, until its end."""
    proxies = {}
    loop = asyncio.get_running_loop()
    commands = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    while True:
        line = await commands.readline()
        if not line:
            os._exit(0)  # no clean-up: the kernel closes all connections
        method, *args = json.loads(line)
        if method == "add":
            p = Proxy(*args)
            await p.start()
            proxies[p.ip, p.port] = p
            print("added", flush=True)
        else:
            ip, port, *values = args
            getattr(proxies[ip, port], method)(*values)


if __name__ == "__main__":
    asyncio.run(execute_commands())
