"""Callers that send requests during the whole run on persistent connections.

Each complete answer is checked; the outcome of every request is recorded.
"""
import asyncio
import random
import time

from soak_customers import bearer, customer_of
from soak_http import ConnectionClosed, connect
from standin import MODELS

KINDS = ("once", "safe", "chat", "night")
# Stream routes of the surge customer, in order of priority.
CLASSES = ("class0", "class1", "class2")
STREAMS = ("chat", "night", *CLASSES)
# Kinds that may run at most once.
UNSAFE = ("once", "chat", *CLASSES)
TIMEOUT_S = {"once": 3.0, "safe": 3.0, "chat": 9.0, "night": 9.0,
             **dict.fromkeys(CLASSES, 9.0)}
# Part of a request's timeout that entries reserve to report the timeout.
TIMEOUT_MARGIN_S = 0.15
# Time that a caller waits beyond its request's timeout.
PATIENCE_S = 1.0
DISCONNECT_SHARE = 0.08   # share of streams whose caller disconnects early
# Maximum of events of a stream; at about 20 ms each it takes 3 s.
MAX_EVENTS = 150


class Request:
    """A request of a caller and its outcome."""

    def __init__(self, rid, kind, entry, rng, longest=MAX_EVENTS):
        self.rid, self.kind, self.entry = rid, kind, entry
        self.deadline_ms = rng.randrange(3000, 8000)
        self.timeout_s = min(self.deadline_ms / 1000, TIMEOUT_S[kind])
        self.n_events = min(draw_event_count(rng), longest)
        self.work_ms = rng.choice([5, 20, 20, 200, 1200])
        # Number of events after which the caller disconnects.
        self.disconnects_after = None
        if kind in STREAMS and rng.random() < DISCONNECT_SHARE:
            self.disconnects_after = rng.randrange(0, self.n_events + 1)
        self.model = ""
        if kind in STREAMS:
            self.model = rng.choice(sorted(MODELS))
        if kind == "chat" and rng.random() < 0.3:
            self.model += "/a%d" % rng.randrange(1, 4)
        # written: once the connection is open.
        self.sent = self.written = self.ended = None
        self.reused = False
        self.answer_began = False
        self.status = 0
        self.retry_after = None   # header value, in seconds
        # "answered"; "left": the caller disconnected; "cut": the connection
        # closed early; "late": no answer in time; or "unreachable".
        self.outcome = ""

    @property
    def timed_out(self):
        """Whether it ended as its timeout was reached."""
        return self.ended - self.sent >= self.timeout_s - TIMEOUT_MARGIN_S

    def headers(self):
        h = {**bearer(customer_of(self.rid)),
             "X-Request-Id": self.rid, "X-Deadline-Ms": self.deadline_ms}
        if self.kind in STREAMS:
            h["X-Model"] = self.model
            h["X-Events"] = self.n_events
            h["X-Token-Usage"] = "10,%d" % self.n_events
        else:
            h["X-Work-Ms"] = self.work_ms
        return h


def draw_event_count(rng):
    """Draws the number of events of a stream: some streams end at once, some
    take seconds.
    """
    return rng.choice([rng.randrange(1, 8), rng.randrange(1, 8),
                       rng.randrange(1, 8), rng.randrange(10, 60),
                       rng.randrange(60, MAX_EVENTS)])


class Callers:
    """All callers of a run. longest is the maximum of events of a stream."""

    def __init__(self, fleet, longest=MAX_EVENTS):
        self.f = fleet
        self.longest = longest
        self.n = 0           # requests of the other customers
        self.n_surge = 0     # requests of the surge customer
        self.answered = {}   # kind -> count
        self.by_entry = {}   # entry -> count of answers
        self.requests = []   # finished requests
        self.on = True

    def fail(self, text):
        self.f.world.violations.append(text)

    @property
    def cut(self):
        """Ids of the requests that were cut before their timeout."""
        return [r.rid for r in self.requests
                if r.outcome == "cut" and not r.timed_out]

    def reset_counts(self):
        """Counts answers anew, to wait for those after a fault."""
        self.answered.clear()
        self.by_entry.clear()

    def check_answer(self, r, fields, body):
        if fields.get("x-signature") != "sig-" + r.rid:
            self.fail("%s: signature of another request" % r.rid)
        want = ("answer to " + r.rid).encode()
        if r.kind in STREAMS:
            want = b"".join(b"id: %d\ndata: %s %d of %d\n\n" % (
                k, r.rid.encode(), k, r.n_events)
                for k in range(1, r.n_events + 1))
        if body != want:
            self.fail("%s: wrong or incomplete answer: %r" % (
                r.rid, body[:200]))
        self.answered[r.kind] = self.answered.get(r.kind, 0) + 1
        self.by_entry[r.entry] = self.by_entry.get(r.entry, 0) + 1

    async def exchange(self, c, r):
        r.reused = c.used > 0
        r.written = time.monotonic()
        # Each body is unique, as callers' prompts are.
        await c.send("POST", "/%s/x" % r.kind, r.rid.encode(), r.headers())
        if r.disconnects_after == 0:
            return "left"
        r.status, fields = await c.head()
        r.answer_began = True
        r.retry_after = fields.get("retry-after")
        body, events = b"", 0
        async for part in c.parts(fields):
            body += part
            events += part.count(b"\n\n")
            if r.disconnects_after and events >= r.disconnects_after:
                return "left"
        if r.status == 200:
            self.check_answer(r, fields, body)
        return "answered"

    async def send_request(self, r, connections):
        """Sends r on the persistent connection to its entry."""
        r.sent = time.monotonic()
        self.f.world.sent_to[r.rid] = r.entry
        try:
            c = connections.get(r.entry)
            if not c or not c.open:
                c = connections[r.entry] = await connect(
                    self.f.entries[r.entry])
            r.outcome = await asyncio.wait_for(
                self.exchange(c, r), r.timeout_s + PATIENCE_S)
        except ConnectionClosed:
            r.outcome = "cut"
        except asyncio.TimeoutError:
            r.outcome = "late"
        except OSError:
            r.outcome = "unreachable"
        r.ended = time.monotonic()
        if r.outcome != "answered" and r.entry in connections:
            connections[r.entry].close()
        self.requests.append(r)

    async def send_single(self, entry):
        """Sends one request to an entry on a new connection."""
        self.n += 1
        connections = {}
        await self.send_request(
            Request("q%d" % self.n, "safe", entry, random.Random(self.n)),
            connections)
        for c in connections.values():
            c.close()

    async def loop(self, seed):
        rng = random.Random(seed)
        connections = {}
        entries = sorted(self.f.entries)
        entry = rng.choice(entries)
        while self.on:
            if rng.random() < 0.1:
                entry = rng.choice(entries)
            self.n += 1
            r = Request("q%d" % self.n, rng.choice(KINDS), entry, rng,
                        self.longest)
            await self.send_request(r, connections)
            if r.outcome == "unreachable":
                entry = rng.choice(entries)
            await asyncio.sleep(rng.random() * 0.05)
        for c in connections.values():
            c.close()

    def check(self):
        """Checks that no request ran that was refused as not executed."""
        for r in self.requests:
            if r.kind in UNSAFE and r.outcome == "answered" and \
                    r.status in (408, 421, 429, 503) and \
                    r.rid in self.f.world.runs:
                self.fail("%s: refused as not executed, but ran" % r.rid)
