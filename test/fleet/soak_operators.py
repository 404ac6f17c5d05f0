"""Two operators that change the routing in quick succession, and probes of
the routing in force at the entries. A fleet has no presets.

Version n of the routing has a route /v/k/ for each of the latest versions k up
to n, and one route /w/LABEL/ that identifies its content. Requests to them
show which version an entry applies, and which of two racing contents.
"""
import asyncio
import json
import random
import time

from soak_callers import CLASSES, TIMEOUT_S
from soak_customers import SURGE
from soak_fleet import engine_parts
from soak_http import http

KEPT_VERSIONS = 40   # earlier versions that a routing has a route for
APPLY_S = 3.0        # from the acknowledgement until a change is in force
CALM_S = 5.0         # time without faults from which APPLY_S holds
REUSED_VERSION_SHARE = 0.25  # share of changes with the previous version
CALL_TIMEOUT_S = 2.0
CLASS_GOALS_MS = (500, 1000, 4000)   # latency goals, by priority


def route(name, prefix, kind, service, timeout_s, **more):
    return dict(name=name, host="h.example", prefix=prefix, type=kind,
                service=service, timeoutMs=int(timeout_s * 1000), **more)


def probe_route(name, prefix):
    """Returns a route that probes recognize by its prefix."""
    return route(name, prefix, "safe", "web", 2.0, attempts=2, public=True)


def routing(version, label, rate, customers=None):
    """Returns a routing; rate: loads from the store per second."""
    t = TIMEOUT_S
    routes = [
        route("once", "/once/", "unsafe", "web", t["once"], attempts=1),
        route("safe", "/safe/", "safe", "web", t["safe"], attempts=2),
        route("chat", "/chat/", "stream", "lm", t["chat"], attempts=1,
              goalMs=500),
        route("night", "/night/", "stream", "lm", t["night"], attempts=2,
              goalMs=2000, resumable=True)]
    routes += [probe_route("v%d" % k, "/v/%d/" % k)
               for k in range(max(1, version - KEPT_VERSIONS), version + 1)]
    routes.append(probe_route("w" + label, "/w/%s/" % label))
    if any(c["name"] == SURGE for c in customers or ()):
        routes += [route(name, "/%s/" % name, "stream", "lm", t[name],
                         attempts=1, goalMs=goal, priority=i)
                   for i, (name, goal) in enumerate(zip(
                       CLASSES, CLASS_GOALS_MS))]
    out = {"version": version, "routes": routes, "services": [
        {"name": "web"}, {"name": "lm", "engine": engine_parts(rate)}]}
    if customers is not None:
        out["tenants"] = customers
    return out


def label_of(got):
    """Returns the content label of a routing that was read back."""
    for r in got["routes"]:
        if r["prefix"].startswith("/w/"):
            return r["prefix"].split("/")[2]
    return ""


class Operators:
    """Changes that operators have sent, and which were acknowledged."""

    def __init__(self, fleet, seed, customers=None):
        self.f, self.world = fleet, fleet.world
        self.customers = customers
        self.rng = random.Random(seed)
        self.version, self.acked = 0, 0
        self.acked_at = {}   # version -> time of its first acknowledgement
        self.sent_labels = {}  # version -> labels sent with it
        self.content = {}    # version -> label that was read back first
        self.labels = 0
        self.probes = 0
        self.seen = {}       # (entry, start number) -> newest version served

    def fail(self, text):
        self.world.violations.append(text)

    async def operate(self, method, path, body=b""):
        """Calls a control VM; returns (status, body), or (0, b"") without an
        answer.
        """
        addr = self.rng.choice(self.f.operator_addrs())
        for _ in range(3):
            try:
                status, headers, got = await asyncio.wait_for(
                    http(addr, method, path, body),
                    CALL_TIMEOUT_S + self.world.lag)
            except (OSError, asyncio.TimeoutError, EOFError):
                return 0, b""
            if status != 307:
                return status, got
            addr = headers["location"].split("/")[2]
        return 0, b""

    def pick_version(self):
        if self.version and self.rng.random() < REUSED_VERSION_SHARE:
            return self.version
        self.version += 1
        return self.version

    async def put(self):
        """Sends a change and checks that it isn't refused.

        A change with a version that is committed already is acknowledged and
        has no effect.
        """
        n = self.pick_version()
        self.labels += 1
        label = "c%d" % self.labels
        self.sent_labels.setdefault(n, set()).add(label)
        body = json.dumps(routing(n, label, self.f.loads_per_s(),
                                  self.customers)).encode()
        status, _ = await self.operate(
            "POST", "/sapphireshift/Config.Put", body)
        if status == 200:
            self.acked = max(self.acked, n)
            self.acked_at.setdefault(n, time.monotonic())
        elif 400 <= status < 500:
            self.fail("a valid change was refused: %d" % status)
        return status

    async def get(self):
        """Reads the routing and checks it against the acknowledged changes."""
        acked = self.acked
        status, body = await self.operate("GET", "/sapphireshift/Config.Get")
        if status != 200:
            return 0
        got = json.loads(body)
        n, label = got["version"], label_of(got)
        if n < acked:
            self.fail("read %d after %d was acknowledged" % (n, acked))
        if label not in self.sent_labels.get(n, ()):
            self.fail("read content %s with version %d, which was never "
                      "sent" % (label, n))
        if self.content.setdefault(n, label) != label:
            self.fail("read content %s with version %d, and %s before" % (
                label, n, self.content[n]))
        return n

    # Probes of the version that entries apply.

    async def probe(self, entry, path):
        """Returns the status of one request, or 0 without an answer."""
        self.probes += 1
        rid = "p%d" % self.probes
        self.world.sent_to[rid] = entry
        try:
            status, _, _ = await asyncio.wait_for(
                http(self.f.entries[entry], "POST", path, b"",
                     {"X-Request-Id": rid}), CALL_TIMEOUT_S + 1)
        except (OSError, asyncio.TimeoutError, EOFError):
            return 0
        return status

    def undisturbed(self, entry, sent):
        """Returns whether the entry and the control VMs had no fault or stop
        for CALM_S.
        """
        names = [entry] + [p.name for p in self.f.of_role("control")]
        return not any(self.f.journal.touched(
            n, sent - CALM_S, time.monotonic()) for n in names)

    def due(self):
        """Returns the newest version that must be in force everywhere now."""
        before = time.monotonic() - APPLY_S
        return max([v for v, at in self.acked_at.items() if at < before],
                   default=0)

    async def probe_version(self, entry, version):
        """Returns whether the entry applies the version or a newer one."""
        start, sent = self.f.procs[entry].starts, time.monotonic()
        overdue = version <= self.due()
        status = await self.probe(entry, "/v/%d/x" % version)
        if self.f.procs[entry].starts != start:
            return False
        if status == 200:
            self.seen[(entry, start)] = max(
                version, self.seen.get((entry, start), 0))
        elif status == 404 and overdue and self.undisturbed(entry, sent):
            self.fail("%s doesn't apply version %d, acknowledged %.1f s "
                      "before" % (entry, version,
                                  sent - self.acked_at[version]))
        return status == 200

    async def probe_rollback(self, entry):
        """Checks that a running entry doesn't revert to an older version."""
        start = self.f.procs[entry].starts
        version = self.seen.get((entry, start), 0)
        if not version or version < self.version - KEPT_VERSIONS // 2:
            return
        status = await self.probe(entry, "/v/%d/x" % version)
        if status == 404 and self.f.procs[entry].starts == start:
            self.fail("%s reverted to a version before %d" % (entry, version))

    async def probe_race_loser(self, entry):
        """Checks that content that lost the race for its version isn't in
        force.
        """
        contested = [n for n in self.content if len(self.sent_labels[n]) > 1]
        if not contested:
            return
        n = max(contested)
        label = self.rng.choice(
            sorted(self.sent_labels[n] - {self.content[n]}))
        if await self.probe(entry, "/w/%s/x" % label) == 200:
            self.fail("%s applies content that lost the race for its "
                      "version" % entry)

    # Loops of operators and probes.

    async def change_routing(self, callers):
        while callers.on:
            await self.put()
            await self.get()
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))

    async def probe_entries(self, callers):
        while callers.on:
            entry = self.rng.choice(sorted(self.f.entries))
            await self.probe_version(entry, self.acked)
            if self.due():
                await self.probe_version(entry, self.due())
            await self.probe_rollback(entry)
            await self.probe_race_loser(entry)
            await asyncio.sleep(0.05)

    def loops(self, callers):
        return [self.change_routing(callers), self.change_routing(callers),
                self.probe_entries(callers), self.probe_entries(callers)]
