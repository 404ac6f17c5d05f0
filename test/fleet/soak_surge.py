"""Callers of one customer, in classes of different priority, who ask for more
than its limit for some seconds and return in different manners when refused.
"""
import asyncio
import random

from soak_callers import CLASSES, Request

LONGEST = 7          # events: costs are alike, and within the burst
CALLERS = 2          # of each class and manner
OFTEN_S = 0.1
MOST_S = 1.0         # longest wait that a caller honours
BEGIN_S, LAST_S = 2.0, 15.0


def when_told(told_s):
    return told_s


def early(told_s):
    return told_s / 4


def often(_told_s):
    return OFTEN_S


MANNERS = (when_told, early, often)


def pause_s(r, manner, rng):
    """Until the caller's next request."""
    if r.status in (429, 503) and r.retry_after:
        return min(manner(float(r.retry_after)), MOST_S)
    return rng.random() * 0.1


async def caller(callers, kind, manner, seed, begin_s):
    rng = random.Random(seed)
    entries, lines = sorted(callers.f.entries), {}
    await asyncio.sleep(begin_s)
    end = asyncio.get_running_loop().time() + LAST_S
    while callers.on and asyncio.get_running_loop().time() < end:
        callers.surged += 1
        r = Request("u%d" % callers.surged, kind, rng.choice(entries), rng,
                    LONGEST)
        await callers.one(r, lines)
        await asyncio.sleep(pause_s(r, manner, rng))
    for c in lines.values():
        c.close()


def surge(callers, seed):
    """Tasks; each class has as many callers of each manner."""
    begin_s = random.Random("surge %d" % seed).uniform(0, BEGIN_S)
    return [asyncio.ensure_future(caller(
        callers, kind, manner, "%s %s %d %d" % (
            kind, manner.__name__, i, seed), begin_s))
            for kind in CLASSES for manner in MANNERS for i in range(CALLERS)]
