"""Scenario: most new connections reach one entry."""
import asyncio
import time

from soak import MODELS_LOADED_S, RECOVERY_S, await_first_change, until
from soak_customers import CUSTOMERS, bearer
from soak_http import ConnectionClosed, http

USUAL_PER_S = 60     # requests, each on a new connection, over all entries
SURGE_FACTOR = 1.5   # of new connections during the surge
TO_ONE_SHARE = 0.85  # of them to one entry
SPAN_S = 5.0         # of each phase
APPLY_S = 3.0        # from the start of a phase until it has to be served
# Share of the requests served at their first attempt, against before.
MIN_SHARE = 0.75


class NewConnections:
    """Sends requests, each on a new connection, mostly to one entry."""

    def __init__(self, fleet):
        self.f, self.n = fleet, 0
        self.sent = []       # (time, whether the first attempt was answered)
        self.tasks = []

    async def send_once(self, entry):
        self.n += 1
        rid = "surge-%d" % self.n
        kind = ("chat", "safe")[self.n % 2]
        self.f.world.sent_to[rid] = entry
        headers = {"X-Request-Id": rid, "X-Deadline-Ms": 4000,
                   "X-Model": "m0", "X-Events": 5, "X-Work-Ms": 20,
                   **bearer(CUSTOMERS[0])}
        at = time.monotonic()
        try:
            status, _, _ = await asyncio.wait_for(http(
                self.f.entries[entry], "POST", "/%s/x" % kind, rid.encode(),
                headers), 5.0)
        except (OSError, EOFError, ConnectionClosed, asyncio.TimeoutError):
            status = 0
        self.sent.append((at, status == 200))

    async def phase(self, per_s, to=None):
        """Sends for SPAN_S; returns the share that was answered, of those sent
        after APPLY_S if most go to one entry.
        """
        entries = sorted(self.f.entries)
        start = time.monotonic()
        while time.monotonic() < start + SPAN_S:
            entry = entries[self.n % len(entries)]
            if to and (self.n * 7) % 100 < 100 * TO_ONE_SHARE:
                entry = to
            self.tasks.append(asyncio.ensure_future(self.send_once(entry)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*self.tasks)
        since = start + (APPLY_S if to else 0)
        good = [ok for at, ok in self.sent if at >= since]
        return sum(good) / max(len(good), 1)


async def most_connections_reach_one_entry(fleet):
    """Guards against an entry that serves its callers less when most new
    connections are handed to it, and then to another one.
    """
    await await_first_change(fleet.operators)
    callers = NewConnections(fleet)

    async def served():
        await callers.send_once(sorted(fleet.entries)[0])
        await callers.send_once(sorted(fleet.entries)[1])
        return all(ok for _, ok in callers.sent[-2:])

    await until(served, MODELS_LOADED_S + RECOVERY_S, "not served")
    before = await callers.phase(USUAL_PER_S)
    for entry in sorted(fleet.entries)[:2]:
        share = await callers.phase(USUAL_PER_S * SURGE_FACTOR, entry)
        assert share >= MIN_SHARE * before, \
            "%s: %.2f served, %.2f before" % (entry, share, before)
    fleet.check_processes()


SCENARIOS = [most_connections_reach_one_entry]
