"""The demo's second part: signals of endpoints that are called directly.

An endpoint states a backoff, a rate limit, and that it drains. Processes are
real, endpoints are the tests' stand-ins, and each figure is their own count.
"""
import asyncio
import os
import shutil
import sys

from system import ROOT

sys.path.insert(0, os.path.join(ROOT, "test", "fleet"))

from soak import RECOVERY_S, await_first_change, until  # noqa: E402
from soak_fleet import Fleet  # noqa: E402
from soak_http import http  # noqa: E402
from soak_operators import Operators  # noqa: E402

SEED = 1
BACKOFF_S = 2
LIMIT_PER_S, LIMIT_S = 1, 7
LIMIT_KNOWN_S = 3       # time until all entries know a limit


class SignalDemo:
    """Calls a plain service with two endpoints and evaluates the answers."""

    def __init__(self, fleet):
        self.f = fleet
        self.n = 0
        self.bad = 0

    async def ask(self):
        """Send one request, to the entries in turn; return its status."""
        self.n += 1
        name = sorted(self.f.entries)[self.n % len(self.f.entries)]
        rid = "demo-%d" % self.n
        self.f.world.sent_to[rid] = name
        status, _, _ = await http(self.f.entries[name], "POST", "/once/x",
                                  rid.encode(), {"X-Request-Id": rid,
                                                 "X-Deadline-Ms": 3000})
        return status

    async def ask_for(self, seconds, a_second):
        got = []
        for _ in range(int(seconds * a_second)):
            got.append(asyncio.ensure_future(self.ask()))
            await asyncio.sleep(1 / a_second)
        return await asyncio.gather(*got)

    def show(self, title, statuses, first, second, bound):
        served = sum(s == 200 for s in statuses)
        ok = served == len(statuses) and first <= bound
        print("\n== %s\n   %d of %d answered; it got %d of them (%d at the "
              "most), the other one %d%s" % (
                  title, served, len(statuses), first, bound, second,
                  "" if ok else "\n   ^ not as promised"))
        self.bad += not ok

    def counts(self):
        return [len(w.received_requests) for w in self.f.webs]

    async def backoff(self):
        one = self.f.webs[0]
        one.backoff_s = BACKOFF_S
        # Each entry learns the backoff from its first rejected request.
        await self.ask_for(0.5, 40)
        before = self.counts()
        got = await self.ask_for(BACKOFF_S - 1, 40)
        one.backoff_s = None
        after = self.counts()
        self.show("an endpoint asks each entry for %d s of rest" % BACKOFF_S,
                  got, after[0] - before[0], after[1] - before[1],
                  2 * len(self.f.entries))
        await asyncio.sleep(BACKOFF_S)

    async def limit(self):
        one = self.f.webs[0]
        one.announce_limit(LIMIT_PER_S)
        await self.ask_for(LIMIT_KNOWN_S, 20)
        before = self.counts()
        seconds = LIMIT_S - LIMIT_KNOWN_S
        got = await self.ask_for(seconds, 20)
        after = self.counts()
        one.withdraw_limit()
        self.show("an endpoint takes %d request a second of all entries, for "
                  "%d s" % (LIMIT_PER_S, seconds), got, after[0] - before[0],
                  after[1] - before[1], int(1.5 * LIMIT_PER_S * seconds + 5))

    async def draining(self):
        one = self.f.webs[0]
        # The endpoint list still has it as ready.
        self.f.listing.frozen_body = self.f.listing.body()
        one.start_draining()

        async def drain_stated():
            await self.ask_for(0.2, 20)
            return bool(one.drain_signals)

        await until(drain_stated, RECOVERY_S, "it is called no more")
        # Until the leader has notified the other entries.
        await asyncio.sleep(0.5)
        before = self.counts()
        got = await self.ask_for(2, 20)
        after = self.counts()
        self.show("an endpoint says that it leaves, before the list does", got,
                  after[0] - before[0], after[1] - before[1], 0)


async def play(fleet):
    demo = SignalDemo(fleet)

    async def served():
        return all(s == 200 for s in await demo.ask_for(0.2, 20))

    await await_first_change(Operators(fleet, SEED))
    await until(served, RECOVERY_S, "the service isn't called")
    await demo.backoff()
    await demo.limit()
    await demo.draining()
    return demo.bad


async def run(play, **size):
    """Run play(fleet) on a new fleet; return its number of failed steps."""
    fleet = Fleet(SEED, os.path.join(ROOT, "build", "sapphireshiftd"), **size)
    try:
        await fleet.start()
        return await play(fleet)
    finally:
        await fleet.stop()
        shutil.rmtree(fleet.folder)


def show_signals():
    print("\nendpoints that are called directly, and what they say of "
          "themselves", flush=True)
    return asyncio.run(run(play))
