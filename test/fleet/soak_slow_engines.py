"""Engines with different times to the first event: faults and a check."""
import asyncio
import random

from soak_callers import Request
from standin import MODELS, STEP

# An engine is fast up to FAST_S to its first event, and slow from SLOW_S on.
# Four is the ratio from which the system may eject an endpoint.
FAST_S = 2 * STEP
SLOW_S = 4 * FAST_S
# Time after a fault in which traffic to an engine increases gradually.
FAULT_TAIL_S = 5.0
# Callers of one model: enough for several engines to hold it.
CALLERS, MAX_EVENTS = 6, 7
# Minimum of calls for the check: with fewer, slow engines could get an even
# share by chance.
MIN_JUDGED_CALLS = 30


def draw_first_event_delays(fleet, seed):
    """Gives some engines a slow first event, in half of the runs."""
    rng = random.Random("uneven %d" % seed)
    if not fleet.n_relays or rng.random() < 0.5:
        return
    max_slow = max(1, len(fleet.engines) // 3)
    for e in rng.sample(fleet.engines, rng.randint(1, max_slow)):
        e.first_s = rng.uniform(1, 2) * SLOW_S


async def model_caller(callers, seed, model):
    rng = random.Random(seed)
    entries, connections = sorted(callers.f.entries), {}
    while callers.on:
        callers.n += 1
        r = Request("q%d" % callers.n, "night", rng.choice(entries), rng,
                    MAX_EVENTS)
        r.model = model
        await callers.send_request(r, connections)
        await asyncio.sleep(rng.random() * 0.1)
    for c in connections.values():
        c.close()


def call_one_model(callers, seed):
    """Starts callers of one model, so that several engines load it."""
    model = random.Random("one model %d" % seed).choice(sorted(MODELS))
    return [asyncio.ensure_future(model_caller(
        callers, "one model %d %d" % (seed, i), model))
            for i in range(CALLERS)]


async def slow_first_events(faults, seconds):
    """Delays the first events of an engine for some seconds."""
    rng = random.Random("first events %d" % faults.seed)
    for _ in range(rng.randrange(0, 4) if faults.f.n_relays else 0):
        await asyncio.sleep(rng.uniform(0, seconds / 3))
        e = rng.choice(faults.f.engines)
        if e.first_s:
            continue
        faults.log.append("slow first events of " + e.name)
        with faults.journal.span(e.name, "slower"):
            e.first_s = rng.uniform(1, 3) * SLOW_S
            await asyncio.sleep(rng.uniform(1, 4))
            e.first_s = 0.0


def comparable_holders(fleet, entry, run):
    """Returns the engines with the run's model that the entry could equally
    have chosen, as engine -> time to its first event.

    They are in the entry's failure domain, as entries prefer local ones, and
    have neither a recent fault nor a rate limit.
    """
    zone = fleet.zone(int(entry.split("-")[1]))
    return {e: s for e, s in run.holders.items()
            if e.zone == zone and not e.announced_limits and
            not fleet.journal.touched(
                e.name, run.start - FAULT_TAIL_S, run.start)}


def count_slow(fleet):
    """Returns, of the calls for which the entry could choose between fast and
    slow engines: their number, the number that went to slow ones, and the
    number that would have gone there with even shares.
    """
    n, to_slow, even_share = 0, 0, 0.0
    for rid, runs in fleet.world.runs.items():
        entry = fleet.world.sent_to.get(rid, "")
        for run in runs if entry in fleet.entries else []:
            times = {e.name: s for e, s in comparable_holders(
                fleet, entry, run).items() if s <= FAST_S or s >= SLOW_S}
            slow = [name for name, s in times.items() if s >= SLOW_S]
            if run.server in times and 0 < len(slow) < len(times):
                n += 1
                to_slow += run.server in slow
                even_share += len(slow) / len(times)
    return n, to_slow, even_share


def slow_preferred(fleet):
    """Returns a message if slow engines got an even share of calls or more."""
    n, to_slow, even_share = count_slow(fleet)
    if n < MIN_JUDGED_CALLS or to_slow < even_share:
        return []
    return ["slow engines got %d of %d calls, with even shares %.0f" % (
        to_slow, n, even_share)]
