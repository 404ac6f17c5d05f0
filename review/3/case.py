"""Streams that may be resumed, while servers spoil a few of them."""
import os
import sys
import threading

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import deployment as d

STREAMS = 400
CLIENTS = 16
SERVERS = 4
FAULTY = ("writer-0", "writer-1")   # half of the servers
EVENTS = 30
PER_WRITE = 3        # events that a server writes together
PAUSE_S = 0.02       # between two writes
SPOILT_EVERY = 50    # the faulty servers spoil one in 50 of their streams
SPOILT_EVENT = 15    # the last event of a write

CONFIG = {
    "routes": [{"name": "summaries", "host": "desk.example", "prefix": "/s/",
                "type": "stream", "timeoutMs": 20000, "goalMs": 2000,
                "priority": 1, "service": "writers", "attempts": 2,
                "resumable": True, "itlTargetMs": 250}],
    "services": [{"name": "writers", "healthPath": "/healthz",
                  "maxConns": 130, "proto": "h1", "tls": False}],
    "limits": d.LIMITS,
}


def event(request_id, n):
    return b"id: %d\ndata: %s-%03d\n\n" % (n, request_id.encode(), n)


class Servers:
    def __init__(self, record):
        self.record = record
        self.streams = 0
        self.spoilt = []
        self.lock = threading.Lock()

    def handle(self, server, r, sock):
        first = int(r.headers.get("last-event-id", "0")) + 1
        spoils = False
        with self.lock:
            if server.name in FAULTY:
                self.streams += 1
                spoils = d.TROUBLE and first == 1 and \
                    self.streams % SPOILT_EVERY == 0
                if spoils:
                    self.spoilt.append(r.id)
        self.record("%s runs %s from event %d on%s", server.name, r.id, first,
                    ", spoils event %d" % SPOILT_EVENT if spoils else "")
        sock.sendall(d.response(200, {"X-Request-Id": r.id,
                                      "X-Signature": "sig-" + r.id,
                                      "Content-Type": "text/event-stream",
                                      "Transfer-Encoding": "chunked"}))
        for at in range(first, EVENTS + 1, PER_WRITE):
            out = b""
            for n in range(at, min(at + PER_WRITE, EVENTS + 1)):
                # The spoilt event has a wrong digit in its id.
                e = event(r.id, n)
                if spoils and n == SPOILT_EVENT:
                    e = e.replace(b"id: %d\n" % n, b"id: %d\n" % (n + 4), 1)
                out += e
            sock.sendall(b"%x\r\n%s\r\n" % (len(out), out))
            d.time.sleep(PAUSE_S)
        sock.sendall(b"0\r\n\r\n")
        return True


def event_ids(body):
    return [int(line[4:]) for line in body.decode("latin-1").split("\n")
            if line.startswith("id: ")]


def client(record, dep, n, broken):
    """Sends every CLIENTS-th stream, one after the other."""
    for i in range(n, STREAMS, CLIENTS):
        rid = "str-%04d" % i
        a = d.call(dep.entries[n % 2], "POST", "/s/%d" % i,
                   {"Host": "desk.example", "X-Request-Id": rid,
                    "X-Deadline-Ms": "20000"}, b"{}")
        ids = event_ids(a.body)
        whole = a.body == b"".join(event(rid, k) for k in range(1, EVENTS + 1))
        record("%s: status %d, complete %s, whole %s%s", rid, a.status,
               a.complete, whole, "" if whole else ", events %s" % ids)
        missing = sorted(set(range(1, max(ids, default=0) + 1)) - set(ids))
        if a.status == 200 and missing:
            broken.append((rid, missing, a.complete))


def case(record):
    stand_ins = Servers(record)
    servers = [d.Server("writers", d.ZONES[i], "writer-%d" % i,
                        stand_ins.handle) for i in range(SERVERS)]
    dep = d.Deployment(servers, CONFIG)
    broken = []
    try:
        dep.start()
        threads = [threading.Thread(target=client,
                                    args=(record, dep, n, broken))
                   for n in range(CLIENTS)]
        for t in threads:
            t.start()
        for t in threads:
            t.join()
    finally:
        ended = dep.ended()
        dep.stop()
    record("streams spoilt: %d of %d of the faulty servers",
           len(stand_ins.spoilt), stand_ins.streams)
    for rid, missing, complete in broken:
        record("%s lacks the events %s in its middle, looks complete: %s", rid,
               missing, complete)
    if ended:
        record("processes that ended by themselves: %s", ended)
    return bool(broken)


sys.exit(d.play(HERE, case))
