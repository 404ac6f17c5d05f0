"""Engines of several software versions, callers that resume broken streams,
and checks that streams resume, at the version that began them.
"""
import asyncio
import random
import time

from soak_customers import CUSTOMERS, bearer
from soak_http import ConnectionClosed, connect
from standin import MODELS

DEADLINE_S = 8.0     # for all tries at a stream
TRIES = 6
# Time until a caller resumes a stream that broke off.
PAUSE_S = 0.05
# Callers that resume streams, and versions that engines start with, in a run
# with relays.
RESUMING_CALLERS = 4
VERSIONS = ["v1", "v2", "v3"]
# Guarantee: while two endpoints of a stream's version serve, the success rate
# of resuming streams is at least half of that of beginning new ones. It is
# checked from MIN_RESUMED streams on.
MIN_RESUMED, MIN_RESUME_RATIO = 12, 0.5
# Time that a process needs to reconnect after a fault.
FAULT_TAIL_S = 3.0


class ResumingCaller:
    """A caller that resumes its stream at other entries until it is complete.

    It tries the entries in turn, and then repeats the last one.
    """

    def __init__(self, fleet, name, model, total, entries,
                 disconnects_at=None, max_tries=TRIES, begin_s=0.0):
        # begin_s: added to the time for all tries until all_begun().
        self.f, self.name, self.model = fleet, name, model
        self.total, self.entries = total, entries
        # Event after which the caller disconnects, once.
        self.disconnects_at = disconnects_at
        self.max_tries = max_tries
        self.until = time.monotonic() + begin_s + DEADLINE_S
        self.first = None    # id of the request that got the first event
        self.events = 0      # events received
        self.resume_tries = 0
        self.refused = 0     # tries with a status other than 200
        self.whole = self.done = False
        self.waited = 0.0    # duration of the latest try
        self.tries = []      # (request id, entry, outcome, events)
        # Each try: (events before it, start, end, entry, events received?).
        self.spans = []

    @property
    def version(self):
        """The version that wrote the first event of the stream, or None."""
        wrote = self.f.world.streams.get(self.first)
        return wrote[0][2] if wrote else None

    @property
    def description(self):
        return "%s (%s): %s" % (self.name, self.version, self.tries)

    def headers(self, rid):
        h = {**bearer(CUSTOMERS[0]), "X-Request-Id": rid,
             "X-Model": self.model,
             "X-Events": self.total, "X-Token-Usage": "10,%d" % self.total,
             "X-Deadline-Ms": int(1000 * (self.until - time.monotonic()))}
        if self.events:
            h["Last-Event-Id"] = self.events
            h["Resumes"] = self.first
        return h

    def all_begun(self):
        """Gives the caller the time for all tries from now on."""
        self.until = time.monotonic() + DEADLINE_S

    async def attempt(self, rid, entry):
        """Makes one try; returns the seconds to wait before the next."""
        c = await connect(self.f.entries[entry])
        try:
            await c.send("POST", "/night/x", self.name.encode(),
                         self.headers(rid))
            status, fields = await c.head()
            async for part in c.parts(fields):
                if status == 200 and part:
                    self.first = self.first or rid
                    self.events += part.count(b"\n\n")
                if self.disconnects_at and self.events >= self.disconnects_at:
                    self.disconnects_at = None
                    raise ConnectionClosed
            self.whole = status == 200 and self.events == self.total
            self.tries.append((rid, entry, status, self.events))
            if status != 200:
                self.refused += 1
            return float(fields.get("retry-after", PAUSE_S))
        except ConnectionClosed:
            self.tries.append((rid, entry, "ended", self.events))
            return PAUSE_S
        finally:
            c.close()

    async def run(self):
        """Requests the stream, and resumes it until it is complete."""
        for i in range(self.max_tries):
            rid = "%s.%d" % (self.name, i)
            entry = self.entries[min(i, len(self.entries) - 1)]
            self.f.world.sent_to[rid] = entry
            before, start = self.events, time.monotonic()
            self.resume_tries += before > 0
            try:
                pause = await asyncio.wait_for(
                    self.attempt(rid, entry),
                    max(self.until - time.monotonic(), 0.01))
            except asyncio.TimeoutError:
                break
            except OSError:
                pause = PAUSE_S
            self.waited = time.monotonic() - start
            self.spans.append((before, start, time.monotonic(), entry,
                               self.events > before))
            if self.whole or time.monotonic() + pause > self.until:
                break
            await asyncio.sleep(pause)
        self.done = True


def mixed_version_streams(world):
    """Returns messages on streams that have events of several versions.

    Only the events from the last event 1 on count: a stream whose caller got
    no event starts again from there.
    """
    out = []
    for stream, wrote in world.streams.items():
        versions = []
        for _, server, version, event in wrote:
            if event == 1:
                versions = []
            if not versions or versions[-1][0] != version:
                versions.append((version, server, event))
        if len({v for v, _, _ in versions}) > 1:
            out.append("%s: %s" % (stream, versions))
    return out


def resumed_share(resuming_callers):
    """Returns the share of the callers with a completed stream, of those that
    tried to resume it.
    """
    tried = [t for t in resuming_callers if t.resume_tries]
    return sum(t.whole for t in tried) / len(tried) if tried else 1.0


async def resume_streams(fleet, callers, seed):
    """Requests streams one after the other, and resumes those that break off.
    """
    rng = random.Random("takers %d" % seed)
    entries, n = sorted(fleet.entries), 0
    while callers.on:
        n += 1
        total = rng.randrange(10, 80)
        t = ResumingCaller(
            fleet, "t%d.%d" % (seed, n), rng.choice(sorted(MODELS)), total,
            rng.sample(entries, min(3, len(entries))),
            rng.randrange(1, total) if rng.random() < 0.6 else None)
        fleet.resuming_callers.append(t)
        await t.run()
        await asyncio.sleep(rng.random() * 0.1)


def draw_versions(fleet, seed):
    """Draws the software version of each engine, in a run with relays."""
    rng = random.Random("versions %d" % seed)
    for e in fleet.engines if fleet.n_relays else []:
        e.version = rng.choice(VERSIONS[:2])


async def roll_out(faults, seconds):
    """Restarts engines with a version drawn anew, partly under the same id."""
    rng = random.Random("releases %d" % faults.seed)
    for _ in range(rng.randrange(1, 5) if faults.f.n_relays else 0):
        await asyncio.sleep(rng.uniform(0, seconds / 3))
        e = rng.choice(faults.f.engines)
        version = rng.choice(VERSIONS)
        faults.log.append("%s %s starts as %s" % (
            faults.journal.at(time.monotonic()), e.name, version))
        await e.restart(rng.uniform(0.1, 1), version, rng.random() < 0.5)


def undisturbed(fleet, entry, since, until):
    """Returns whether the entry and the control VMs had no fault or stop."""
    names = [entry] + [p.name for p in fleet.of_role("control")]
    return not any(fleet.journal.touched(n, since - FAULT_TAIL_S, until)
                   for n in names)


def two_engines_serve(fleet, version, since, until):
    """Returns whether two engines of that version, and their agents, had no
    fault or stop in that time.
    """
    return sum(e.version == version and
               not fleet.journal.touched(
                   e.name, since - FAULT_TAIL_S, until) and
               not fleet.journal.touched(e.name.replace("engine", "agent"),
                                         since - FAULT_TAIL_S, until)
               for e in fleet.engines) >= 2


def any_events(tries):
    """Returns whether some of the tries at a stream got events; None without
    tries.
    """
    return any(had_events for *_, had_events in tries) if tries else None


def too_few_resumed(fleet):
    """Returns a message if too few streams were resumed at entries without
    faults.

    All tries at a stream count as one, as the guarantee is on streams.
    """
    new, resumed = [], []
    for t in fleet.resuming_callers:
        undisturbed_tries = [
            s for s in t.spans if undisturbed(fleet, s[3], s[1], s[2])]
        new.append(any_events([s for s in undisturbed_tries if not s[0]]))
        resumed.append(any_events([
            s for s in undisturbed_tries
            if s[0] and two_engines_serve(fleet, t.version, s[1], s[2])]))
    new = [had_events for had_events in new if had_events is not None]
    resumed = [had_events for had_events in resumed
               if had_events is not None]
    fleet.resume_counts = (len(resumed), sum(resumed), len(new), sum(new))
    if len(resumed) < MIN_RESUMED or not new:
        return []
    resume_share, new_share = sum(resumed) / len(resumed), sum(new) / len(new)
    if resume_share >= MIN_RESUME_RATIO * new_share:
        return []
    return ["%.2f of %d streams were resumed, "
            "and %.2f of %d new ones began" % (
                resume_share, len(resumed), new_share, len(new))]
