"""A small deployment on loopback for the scripts of this review.

Starts the project's daemon as separate processes, with the command of the
deploy file and settings that correspond to its templates: three control VMs
with a disk, some entries, and agents where a service has engines. The list of
servers, the servers and the clients are stand-ins in this process.
"""
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "sapphireshiftd")
PRESETS = os.path.join(ROOT, "conf", "fleet", "presets")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["hall-a", "hall-b", "hall-tr", "hall-pe"]


class CannotRun(Exception):
    """The case couldn't be played; says nothing about the rule."""


class Record:
    """What was sent, run and answered, written to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def __call__(self, text, *args):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.start,
                                             text % args if args else text))
            self.file.flush()


def free_port(hosts):
    """Returns a port that is free on all hosts, below the range from which the
    kernel takes the ports of outgoing connections."""
    for _ in range(200):
        port = random.randint(10240, 30000)
        socks = [socket.socket() for _ in hosts]
        try:
            for s, h in zip(socks, hosts):
                s.bind((h, port))
            return port
        except OSError:
            continue
        finally:
            for s in socks:
                s.close()
    raise CannotRun("no free port")


# HTTP.

class Connection:
    """Buffered reading of HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock, self.buf = sock, b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            return False
        self.buf += data
        return True

    def head(self):
        """Returns (first line, headers), or None once the peer closed."""
        while b"\r\n\r\n" not in self.buf:
            if not self.fill():
                return None
        raw, self.buf = self.buf.split(b"\r\n\r\n", 1)
        lines = raw.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def exactly(self, n):
        while len(self.buf) < n:
            if not self.fill():
                return None
        out, self.buf = self.buf[:n], self.buf[n:]
        return out

    def line(self):
        while b"\r\n" not in self.buf:
            if not self.fill():
                return None
        out, self.buf = self.buf.split(b"\r\n", 1)
        return out


class Request:
    def __init__(self, line, headers, body):
        self.method, self.target, _ = line.split(" ", 2)
        self.headers, self.body = headers, body
        self.id = headers.get("x-request-id", "")


def response(status, headers, body=None):
    """Returns a response; without a body only its head."""
    lines = ["HTTP/1.1 %d %s" % (status, "OK" if status == 200 else "Other")]
    lines += ["%s: %s" % h for h in headers.items()]
    if body is not None:
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


class Server:
    """A server of a service. handle(server, request, socket) answers one
    request and returns False if the connection is to be closed."""

    def __init__(self, service, zone, name, handle, slots=16):
        self.service, self.zone, self.name = service, zone, name
        self.handle, self.slots = handle, slots
        self.born = int(time.time() * 1000)
        self.id = "i-%s-%x" % (name, self.born)
        self.version = "v1"
        self.state = "ready"
        self.lock = threading.Lock()
        self.open = set()
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(128)
        self.addr = "127.0.0.1:%d" % self.sock.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                c, _ = self.sock.accept()
            except OSError:
                return
            c.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(c,), daemon=True).start()

    def serve(self, sock):
        conn = Connection(sock)
        try:
            while True:
                head = conn.head()
                if not head:
                    return
                n = int(head[1].get("content-length", 0))
                r = Request(head[0], head[1], conn.exactly(n))
                if not self.answer(r, sock):
                    return
        except OSError:
            pass
        finally:
            sock.close()

    def answer(self, r, sock):
        if r.target == "/healthz":
            sock.sendall(response(200, {"X-Instance-Id": self.id}, b"ok"))
            return True
        if r.headers.get("x-expect-instance", self.id) != self.id:
            sock.sendall(response(421, {"X-Request-Id": r.id,
                                        "X-Not-Executed": "1"}, b""))
            return True
        return self.handle(self, r, sock)

    def entry(self):
        return {"id": self.id, "service": self.service, "addr": self.addr,
                "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": self.state, "coldLeftMs": 0,
                "born": self.born}


def reset(sock):
    """Resets a connection, as a crash with unread data does."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                    b"\x01\x00\x00\x00\x00\x00\x00\x00")
    sock.close()


class Cloud:
    """The platform's list of servers."""

    def __init__(self, servers):
        self.servers = servers
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(128)
        self.addr = "127.0.0.1:%d" % self.sock.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                c, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(c,), daemon=True).start()

    def serve(self, sock):
        conn = Connection(sock)
        try:
            while conn.head():
                body = json.dumps({"instances": [s.entry() for s in
                                                 self.servers],
                                   "next": None}).encode()
                sock.sendall(response(
                    200, {"Content-Type": "application/json"}, body))
        except OSError:
            pass
        finally:
            sock.close()


class Answer:
    """A client's view of an answer."""

    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b""
        self.complete = False


def read_body(conn, a):
    if "content-length" in a.headers:
        left = int(a.headers["content-length"])
        while left:
            if not conn.buf and not conn.fill():
                return
            piece, conn.buf = conn.buf[:left], conn.buf[left:]
            a.body += piece
            left -= len(piece)
        a.complete = True
        return
    while True:
        size = conn.line()
        if size is None:
            return
        n = int(size, 16)
        piece = bytearray()
        while len(piece) < n:
            if not conn.buf and not conn.fill():
                a.body += bytes(piece)
                return
            take = n - len(piece)
            piece += conn.buf[:take]
            conn.buf = conn.buf[take:]
        a.body += bytes(piece)
        if conn.line() is None:
            return
        if n == 0:
            a.complete = True
            return


def call(addr, method, target, headers, body=b"", timeout=20.0):
    """Sends one request on a new connection and reads its answer."""
    host, port = addr.rsplit(":", 1)
    a = Answer()
    lines = ["%s %s HTTP/1.1" % (method, target)]
    lines += ["%s: %s" % h for h in headers.items()]
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    try:
        with socket.create_connection((host, int(port)), 2.0) as s:
            s.settimeout(timeout)
            s.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            conn = Connection(s)
            head = conn.head()
            if not head:
                return a
            a.status = int(head[0].split(" ")[1])
            a.headers = head[1]
            read_body(conn, a)
    except OSError:
        pass
    return a


# Processes.

class Process:
    def __init__(self, name, settings, log):
        self.name, self.settings, self.log = name, settings, log
        self.proc = None
        self.start()

    def start(self):
        with open(self.log, "ab") as out:
            self.proc = subprocess.Popen([DAEMON, self.settings], cwd=ROOT,
                                         stdin=subprocess.DEVNULL,
                                         stdout=out, stderr=out)

    def running(self):
        return self.proc.poll() is None

    def kill(self):
        if self.running():
            self.proc.send_signal(signal.SIGCONT)
            self.proc.kill()
        self.proc.wait()


class Deployment:
    """Three control VMs and some entries before the given servers."""

    CONTROL_IPS = ["127.0.0.11", "127.0.0.12", "127.0.0.13"]
    MORE_IPS = []   # of control VMs that start later, at the same ports

    def __init__(self, servers, config, entries=2, engines=()):
        if not os.access(DAEMON, os.X_OK):
            raise CannotRun("the deploy file's build is missing")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.cloud = Cloud(servers)
        self.config, self.version = config, 0
        ips = self.CONTROL_IPS + self.MORE_IPS
        self.frames = free_port(ips)
        self.operators = free_port(ips)
        while self.operators == self.frames:
            self.operators = free_port(ips)
        self.seeds = ["%s:%d" % (ip, self.frames) for ip in self.CONTROL_IPS]
        self.procs, self.entries, self.ready = [], [], []
        for i, ip in enumerate(self.CONTROL_IPS):
            self.add("control-%d" % i, "control", ZONES[i],
                     "%s:%d" % (ip, self.frames),
                     {"operator_listen": "%s:%d" % (ip, self.operators),
                      "lease_ms": 3000, "vm_list": self.cloud.addr},
                     control_vm={
                         "data": os.path.join(self.folder, "data-%d" % i),
                         "presets_dir": PRESETS, "first_preset": "ordinary",
                         "found_group": True})
        for i in range(entries):
            front = "127.0.0.1:%d" % free_port(["127.0.0.1"])
            ready = "127.0.0.1:%d" % free_port(["127.0.0.1"])
            self.entries.append(front)
            self.ready.append(ready)
            self.add("entry-%d" % i, "entry", ZONES[i % 4],
                     "127.0.0.1:%d" % free_port(["127.0.0.1"]),
                     {"listen": front, "ready_listen": ready, "grace_s": 8,
                      "retry_ratio": 0.2, "retry_window_s": 10,
                      "retry_slack": 64, "memory_mb": 260,
                      "vm_list": self.cloud.addr})
        for i, e in enumerate(engines):
            self.add("agent-%d" % i, "agent", e.zone,
                     "127.0.0.1:%d" % free_port(["127.0.0.1"]),
                     {"endpoint": e.addr, "holder": "side-%d" % i})

    def add(self, name, role, zone, listen, fleet, **more):
        s = {"role": role, "name": name, "domain": zone, "listen": listen,
             "control": self.seeds, "control_port": self.frames,
             "fleet": dict(fleet, on=True)}
        s.update(more)
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as f:
            json.dump(s, f)
        self.procs.append(Process(name, path,
                                  os.path.join(self.folder, name + ".log")))

    def process(self, name):
        return next(p for p in self.procs if p.name == name)

    def put(self, config=None, seconds=15.0):
        """Sends a configuration as the operator does, until it is
        acknowledged."""
        self.config = config or self.config
        self.version += 1
        body = json.dumps(dict(self.config, version=self.version)).encode()
        end, i = time.monotonic() + seconds, 0
        while time.monotonic() < end:
            addr = "%s:%d" % (self.CONTROL_IPS[i % 3], self.operators)
            for _ in range(3):
                a = call(addr, "POST", "/sapphireshift/Config.Put",
                         {"Host": addr, "Content-Type": "application/json"},
                         body, 2.0)
                if a.status != 307:
                    break
                addr = a.headers["location"].split("/")[2]
            if a.status == 200:
                return
            if a.status in (400, 409, 412, 413, 422):
                raise CannotRun("configuration refused: %d %s" % (
                    a.status, a.body.decode("latin-1")))
            i += 1
            time.sleep(0.2)
        raise CannotRun("no acknowledgement of the configuration")

    def await_ready(self, seconds=15.0):
        end = time.monotonic() + seconds
        for addr in self.ready:
            while call(addr, "GET", "/sapphireshift/readyz",
                       {"Host": addr}, timeout=1.0).status != 200:
                if time.monotonic() > end:
                    raise CannotRun("an entry isn't ready")
                time.sleep(0.1)

    def start(self):
        self.put()
        self.await_ready()
        time.sleep(0.5)

    def logs(self, name):
        with open(os.path.join(self.folder, name + ".log"), errors="replace") \
                as f:
            return f.read()

    def ended(self):
        """Returns the processes that ended by themselves."""
        return [p.name for p in self.procs if not p.running()]

    def stop(self):
        for p in self.procs:
            p.kill()
        if os.environ.get("KEEP"):
            print("kept:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(folder, case):
    """Runs case(record) and returns the exit code: 1 if it says that the rule
    was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(folder)
    record("TROUBLE=%d", TROUBLE)
    try:
        broken = case(record)
    except CannotRun as e:
        record("couldn't run: %s", e)
        print("couldn't run:", e)
        return 2
    record("the rule was broken" if broken else "the rule held")
    print("broken" if broken else "held")
    return 1 if broken else 0


LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
          "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
