"""The demo's second part: endpoints that are called directly, and what they
say of themselves: a rest, a limit, that they leave. Real processes, stand-ins
of the tests, each figure as the endpoint counted it.
"""
import asyncio
import os
import shutil
import sys

from system import ROOT

sys.path.insert(0, os.path.join(ROOT, "test", "fleet"))

from soak import RECOVERY_S, first_change, until  # noqa: E402
from soak_fleet import Fleet  # noqa: E402
from soak_http import http  # noqa: E402
from soak_operators import Operators  # noqa: E402

SEED = 1
REST_S = 2
LIMIT_PER_S, LIMIT_LASTS_S = 1, 7
# By then all entries have heard of a limit.
KNOWN_S = 3


class Words:
    """Callers of a plain service with two endpoints, and what came of it."""

    def __init__(self, fleet):
        self.f = fleet
        self.n = 0
        self.bad = 0

    async def ask(self):
        """One request, to one entry after the other."""
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

    def show(self, title, statuses, first, second, most):
        served = sum(s == 200 for s in statuses)
        ok = served == len(statuses) and first <= most
        print("\n== %s\n   %d of %d answered; it got %d of them (%d at the "
              "most), the other one %d%s" % (
                  title, served, len(statuses), first, most, second,
                  "" if ok else "\n   ^ not as promised"))
        self.bad += not ok

    def counts(self):
        return [len(w.got) for w in self.f.webs]

    async def rest(self):
        one = self.f.webs[0]
        one.rest_s = REST_S
        # Each entry hears it with the first request that is turned away.
        await self.ask_for(0.5, 40)
        before = self.counts()
        got = await self.ask_for(REST_S - 1, 40)
        one.rest_s = None
        after = self.counts()
        self.show("an endpoint asks each entry for %d s of rest" % REST_S, got,
                  after[0] - before[0], after[1] - before[1],
                  2 * len(self.f.entries))
        await asyncio.sleep(REST_S)

    async def limit(self):
        one = self.f.webs[0]
        one.name_limit(LIMIT_PER_S)
        await self.ask_for(KNOWN_S, 20)
        before = self.counts()
        seconds = LIMIT_LASTS_S - KNOWN_S
        got = await self.ask_for(seconds, 20)
        after = self.counts()
        one.drop_limit()
        self.show("an endpoint takes %d request a second of all entries, for "
                  "%d s" % (LIMIT_PER_S, seconds), got, after[0] - before[0],
                  after[1] - before[1], int(1.5 * LIMIT_PER_S * seconds + 5))

    async def leaving(self):
        one = self.f.webs[0]
        # The list goes on calling it ready.
        self.f.listing.old = self.f.listing.body()
        one.leave()

        async def said():
            await self.ask_for(0.2, 20)
            return bool(one.said)

        await until(said, RECOVERY_S, "it is called no more")
        # The leader tells the other entries.
        await asyncio.sleep(0.5)
        before = self.counts()
        got = await self.ask_for(2, 20)
        after = self.counts()
        self.show("an endpoint says that it leaves, before the list does", got,
                  after[0] - before[0], after[1] - before[1], 0)


async def play(fleet):
    words = Words(fleet)

    async def served():
        return all(s == 200 for s in await words.ask_for(0.2, 20))

    await first_change(Operators(fleet, SEED))
    await until(served, RECOVERY_S, "the service isn't called")
    await words.rest()
    await words.limit()
    await words.leaving()
    return words.bad


async def run(play, **size):
    """A fleet for play(fleet); the number of steps that went wrong there."""
    fleet = Fleet(SEED, os.path.join(ROOT, "build", "sapphireshiftd"), **size)
    try:
        await fleet.start()
        return await play(fleet)
    finally:
        await fleet.stop()
        shutil.rmtree(fleet.folder)


def words():
    print("\nendpoints that are called directly, and what they say of "
          "themselves", flush=True)
    return asyncio.run(run(play))
