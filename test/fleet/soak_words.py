"""What endpoints say of themselves in their answers: faults and checks."""
import asyncio
import random
import time

# Of the promise: from so long after a limit was first named, an endpoint gets
# in no window more than the ratio of what it allows, and some.
CONTACT_S = 3.0
WINDOW_S = 4.0
RATIO, EXTRA = 1.5, 5
# A process that was harmed needs so long to hear again.
AFTER_S = 2.5
LIMITS = [0.5, 1, 2, 5]


async def name_limits(faults, seconds):
    """Endpoints name a limit for some seconds, beside all else. Drawn apart,
    so that schedules of old seeds stay.
    """
    rng = random.Random("limits %d" % faults.seed)
    for _ in range(rng.randrange(0, 4) if faults.f.n_relays else 0):
        await asyncio.sleep(rng.uniform(0, seconds / 3))
        server = rng.choice(faults.f.servers)
        if server.limit is not None:
            continue
        faults.log.append("%s limit of %s" % (
            faults.journal.at(time.monotonic()), server.name))
        server.name_limit(rng.choice(LIMITS))
        await asyncio.sleep(rng.uniform(2, 8))
        server.drop_limit()


def worst_window(times):
    worst, first = 0, 0
    for i, t in enumerate(times):
        while times[first] < t - WINDOW_S:
            first += 1
        worst = max(worst, i - first + 1)
    return worst


def over_limit(fleet):
    """Endpoints that got more than their limit allows from entries that
    nothing had harmed, as text.
    """
    world, out = fleet.world, []
    for s in fleet.servers:
        for since, until_t, per_s in s.named:
            end = until_t or time.monotonic()
            if not since:
                continue
            times = [t for t, rid in s.got
                     if since + CONTACT_S + world.lag <= t <= end and
                     not world.journal.harmed(world.sent_to.get(rid, ""),
                                              since - AFTER_S, t)]
            worst = worst_window(times)
            allowed = RATIO * per_s * WINDOW_S + EXTRA
            if worst > allowed:
                out.append("%s named %s a second and got %d in %.0f s, %.1f "
                           "are allowed" % (s.name, per_s, worst, WINDOW_S,
                                            allowed))
    return out
