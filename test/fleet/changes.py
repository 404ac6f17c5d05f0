"""Scenario: an acknowledged change with 12,000 routes, under faults."""
import asyncio
import json
import random
import signal
import time

from fleet_logs import leader_of
from soak import RECOVERY_S, await_first_change, until
from soak_fleet import CONTROLS
from soak_operators import APPLY_S, mark, routing
from standin import TO_CLIENT, TO_SERVER, free_port

ROUTES = 12000
PROBE_S = 0.05
WATCH_S = 1.5        # checks go on for this long after the bound
STILL_S = 4.0        # how long a process stands still or is slowed down
SLOW_ON_S, SLOW_OFF_S = 0.01, 0.09   # a tenth of a core


class Changes:
    """Changes that each add one route, and the entries' answers for it."""

    def __init__(self, fleet):
        self.f, self.ops = fleet, fleet.operators
        self.bulk = [mark("b%d" % i, "/b/%d/" % i) for i in range(ROUTES)]
        self.acked = {}      # version -> time of its acknowledgement
        self.late = []

    async def put(self):
        """Send the next change until it is acknowledged; its version."""
        self.ops.version += 1
        n = self.ops.version
        text = routing(n, "c%d" % n, self.f.loads_per_s())
        text["routes"][4:4] = self.bulk
        body = json.dumps(text).encode()

        async def accepted():
            status, _ = await self.ops.operate(
                "POST", "/sapphireshift/Config.Put", body)
            return status == 200

        await until(accepted, RECOVERY_S, "version %d isn't accepted" % n)
        self.acked[n] = time.monotonic()
        return n

    async def look(self, entry, version):
        """The status at one entry; a 404 after APPLY_S is recorded."""
        sent = time.monotonic()
        status = await self.ops.probe(entry, "/v/%d/x" % version)
        age = sent - self.acked.get(version, sent)
        if status == 404 and age > APPLY_S:
            self.late.append("%s: 404 for version %d %.1f s after its "
                             "acknowledgement" % (entry, version, age))
        return status

    async def watch(self, until_s):
        """Probe all entries for the newest version, until until_s."""
        while time.monotonic() < until_s:
            newest = max(self.acked)
            await asyncio.gather(*[self.look(e, newest)
                                   for e in sorted(self.f.entries)])
            await asyncio.sleep(PROBE_S)

    async def everywhere(self, version):
        async def served():
            return all([await self.look(e, version) == 200
                        for e in sorted(self.f.entries)])

        await until(served, RECOVERY_S, "version %d isn't served" % version)


async def slow(c, entry):
    """The entry gets a tenth of a core."""
    p = c.f.procs[entry]
    end = time.monotonic() + STILL_S
    n = asyncio.ensure_future(c.put())
    while time.monotonic() < end:
        p.send(signal.SIGSTOP)
        await asyncio.sleep(SLOW_OFF_S)
        p.send(signal.SIGCONT)
        await asyncio.sleep(SLOW_ON_S)
    await n


async def frozen(c, entry):
    """The entry is stopped during the change, with requests pending."""
    p = c.f.procs[entry]
    p.send(signal.SIGSTOP)
    n = await c.put()
    await asyncio.sleep(STILL_S)
    asked = [asyncio.ensure_future(c.look(entry, n)) for _ in range(8)]
    await asyncio.sleep(0.1)
    p.send(signal.SIGCONT)
    await asyncio.gather(*asked)


async def cut(c, entry):
    """All connections to control VMs go silent; entries reconnect."""
    before = max(c.acked)
    lines = c.f.proxies_of(["control-%d" % i for i in range(CONTROLS)])
    for p in lines:
        p.silence(TO_SERVER, TO_CLIENT)
    await asyncio.sleep(1.0)
    assert await c.look(entry, before) == 200, "a known route isn't served"
    await c.put()


async def restarted(c, entry):
    """The entry is killed as the change is acknowledged."""
    p = c.f.procs[entry]
    await c.put()
    await p.end(signal.SIGKILL)
    p.start()


async def new(c, entry):
    """A new entry joins during the change."""
    f, name = c.f, "entry-%d" % len(c.f.entries)
    f.entries[name] = "127.0.0.1:%d" % free_port()
    f.add(name, f.settings(
        name, "entry", "127.0.0.1:%d" % free_port(),
        fleet={"listen": f.entries[name],
               "ready_listen": "127.0.0.1:%d" % free_port(),
               "vm_list": f.listing.addr}))
    f.procs[name].start()
    await c.put()


async def leader_lost(c, entry):
    """The leader is killed right after its acknowledgement."""
    led = await leader_of(c.f)
    await c.put()
    p = c.f.procs["control-%d" % led]
    await p.end(signal.SIGKILL)
    p.start()


async def series(c, entry):
    """Changes back to back, each after the previous acknowledgement."""
    for _ in range(12):
        await c.put()


CASES = [series, slow, frozen, cut, restarted, new, leader_lost]


async def acknowledged_change_holds(fleet):
    """Guards against a 404 for a route whose change was acknowledged.

    Entries are slowed down, stopped, cut off, restarted and added, and the
    leader is killed, around the change.
    """
    await await_first_change(fleet.operators)
    c = Changes(fleet)
    rng = random.Random(1)
    await c.everywhere(await c.put())
    for case in CASES:
        entry = rng.choice(sorted(fleet.entries))
        watch = asyncio.ensure_future(c.watch(time.monotonic() + 600))
        await asyncio.wait_for(case(c, entry), 2 * RECOVERY_S + STILL_S)
        await c.everywhere(max(c.acked))
        watch.cancel()
        await c.watch(max(c.acked.values()) + APPLY_S + WATCH_S)
        assert not c.late, "%s: %s" % (case.__name__, c.late[:3])
    fleet.check_processes()


SCENARIOS = [acknowledged_change_holds]
