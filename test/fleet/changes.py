"""Scenario: acknowledged routing changes with 12,000 routes, under faults."""
import asyncio
import json
import random
import signal
import time

from fleet_logs import leader_of
from soak import RECOVERY_S, await_first_change, until
from soak_fleet import CONTROLS
from soak_operators import APPLY_S, probe_route, routing
from link_proxy import TO_CLIENT, TO_SERVER
from standin import free_port

ROUTES = 12000
PROBE_S = 0.05       # pause between two rounds of probes
WATCH_S = 1.5        # time for which probes go on after APPLY_S
FAULT_S = 4.0        # how long a process is stopped or slowed down
SLOW_ON_S, SLOW_OFF_S = 0.01, 0.09   # running, stopped: a tenth of a core


class Changes:
    """Sends changes that each add one route, and probes entries for it."""

    def __init__(self, fleet):
        self.f, self.ops = fleet, fleet.operators
        self.bulk = [probe_route("b%d" % i, "/b/%d/" % i)
                     for i in range(ROUTES)]
        self.acked = {}      # version -> time of its acknowledgement
        self.late = []       # messages on 404s after APPLY_S

    async def put(self):
        """Sends the next change until it is acknowledged; returns the version
        of the change.
        """
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

    async def probe(self, entry, version):
        """Returns the status at one entry, and records a 404 after APPLY_S."""
        sent = time.monotonic()
        status = await self.ops.probe(entry, "/v/%d/x" % version)
        age = sent - self.acked.get(version, sent)
        if status == 404 and age > APPLY_S:
            self.late.append("%s: 404 for version %d %.1f s after its "
                             "acknowledgement" % (entry, version, age))
        return status

    async def watch(self, until_s):
        """Probes all entries for the newest acknowledged version."""
        while time.monotonic() < until_s:
            newest = max(self.acked)
            await asyncio.gather(*[self.probe(e, newest)
                                   for e in sorted(self.f.entries)])
            await asyncio.sleep(PROBE_S)

    async def everywhere(self, version):
        """Waits until all entries serve the route of the version."""
        async def served():
            return all([await self.probe(e, version) == 200
                        for e in sorted(self.f.entries)])

        await until(served, RECOVERY_S, "version %d isn't served" % version)


async def slowed_down(c, entry):
    """The entry gets a tenth of a core during the change."""
    p = c.f.procs[entry]
    end = time.monotonic() + FAULT_S
    n = asyncio.ensure_future(c.put())
    while time.monotonic() < end:
        p.send(signal.SIGSTOP)
        await asyncio.sleep(SLOW_OFF_S)
        p.send(signal.SIGCONT)
        await asyncio.sleep(SLOW_ON_S)
    await n


async def frozen(c, entry):
    """The entry is stopped during the change, and resumes with requests
    pending.
    """
    p = c.f.procs[entry]
    p.send(signal.SIGSTOP)
    n = await c.put()
    await asyncio.sleep(FAULT_S)
    probes = [asyncio.ensure_future(c.probe(entry, n)) for _ in range(8)]
    await asyncio.sleep(0.1)
    p.send(signal.SIGCONT)
    await asyncio.gather(*probes)


async def cut(c, entry):
    """All connections to control VMs go silent; entries reconnect."""
    before = max(c.acked)
    links = c.f.proxies_of(["control-%d" % i for i in range(CONTROLS)])
    for p in links:
        p.silence(TO_SERVER, TO_CLIENT)
    await asyncio.sleep(1.0)
    assert await c.probe(entry, before) == 200, "a known route isn't served"
    await c.put()


async def restarted(c, entry):
    """The entry is killed as the change is acknowledged."""
    p = c.f.procs[entry]
    await c.put()
    await p.end(signal.SIGKILL)
    p.start()


async def joining(c, entry):
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
    """The leader is killed right after it has acknowledged the change."""
    leader = await leader_of(c.f)
    await c.put()
    p = c.f.procs["control-%d" % leader]
    await p.end(signal.SIGKILL)
    p.start()


async def series(c, entry):
    """Changes back to back, each after the previous acknowledgement."""
    for _ in range(12):
        await c.put()


CASES = [series, slowed_down, frozen, cut, restarted, joining, leader_lost]


async def acknowledged_change_stays_in_force(fleet):
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
        await asyncio.wait_for(case(c, entry), 2 * RECOVERY_S + FAULT_S)
        await c.everywhere(max(c.acked))
        watch.cancel()
        await c.watch(max(c.acked.values()) + APPLY_S + WATCH_S)
        assert not c.late, "%s: %s" % (case.__name__, c.late[:3])
    fleet.check_processes()


SCENARIOS = [acknowledged_change_stays_in_force]
