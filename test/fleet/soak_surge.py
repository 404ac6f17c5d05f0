"""Load of one customer above its limit for some seconds.

The callers send requests of classes with different priority, and retry refused
ones by different policies.
"""
import asyncio
import random

from soak_callers import CLASSES, Request

MAX_EVENTS = 7       # so that costs are similar, and within the burst
CALLERS = 2          # callers of each class and retry policy
EAGER_RETRY_S = 0.1  # wait of callers that ignore Retry-After
MAX_WAIT_S = 1.0     # longest Retry-After that a caller follows
MAX_START_S, SURGE_S = 2.0, 15.0   # latest start, duration


def when_told(retry_after_s):
    return retry_after_s


def early(retry_after_s):
    return retry_after_s / 4


def often(_retry_after_s):
    return EAGER_RETRY_S


# Each returns the seconds until a retry. The names of these functions are part
# of the callers' random seeds.
RETRY_POLICIES = (when_told, early, often)


def pause_s(r, policy, rng):
    """Returns the seconds until the caller's next request."""
    if r.status in (429, 503) and r.retry_after:
        return min(policy(float(r.retry_after)), MAX_WAIT_S)
    return rng.random() * 0.1


async def surge_caller(callers, kind, policy, seed, start_s):
    rng = random.Random(seed)
    entries, connections = sorted(callers.f.entries), {}
    await asyncio.sleep(start_s)
    end = asyncio.get_running_loop().time() + SURGE_S
    while callers.on and asyncio.get_running_loop().time() < end:
        callers.n_surge += 1
        r = Request("u%d" % callers.n_surge, kind, rng.choice(entries), rng,
                    MAX_EVENTS)
        await callers.send_request(r, connections)
        await asyncio.sleep(pause_s(r, policy, rng))
    for c in connections.values():
        c.close()


def surge(callers, seed):
    """Starts CALLERS callers for each class and retry policy."""
    start_s = random.Random("surge %d" % seed).uniform(0, MAX_START_S)
    return [asyncio.ensure_future(surge_caller(
        callers, kind, policy, "%s %s %d %d" % (
            kind, policy.__name__, i, seed), start_s))
            for kind in CLASSES for policy in RETRY_POLICIES
            for i in range(CALLERS)]
