"""Signals in endpoints' answers: rate limit, backoff, draining.

The module has the faults that make endpoints send signals, and the checks that
entries and agents respect these.
"""
import asyncio
import random
import time

from soak_journal import most_in_window
from standin import AGENT

# Guarantee on a rate limit: from LIMIT_KNOWN_S after its first statement, an
# endpoint gets at most RATIO times what it allows plus EXTRA in each window.
LIMIT_KNOWN_S = 3.0
WINDOW_S = 4.0
RATIO, EXTRA = 1.5, 5
# Guarantees on backoff and draining: an endpoint that requested a backoff of a
# VM gets at most MAX_IN_BACKOFF requests from it, from BACKOFF_DELAY_S on
# until the end of the backoff. One that stated to an entry that it is draining
# gets none from it after DRAIN_S.
BACKOFF_DELAY_S, MAX_IN_BACKOFF = 0.5, 2
DRAIN_S = 3.0
# Time that a process needs to receive signals again after a fault.
FAULT_TAIL_S = 2.5
RATE_LIMITS = [0.5, 1, 2, 5]  # requests per second


async def state_rate_limits(faults, seconds):
    """Makes endpoints state a rate limit for some seconds, concurrently with
    all other faults.

    A separate generator keeps the schedules of older seeds unchanged.
    """
    rng = random.Random("limits %d" % faults.seed)
    for _ in range(rng.randrange(0, 4) if faults.f.n_relays else 0):
        await asyncio.sleep(rng.uniform(0, seconds / 3))
        server = rng.choice(faults.f.servers)
        if server.limit is not None:
            continue
        faults.log.append("%s limit of %s" % (
            faults.journal.at(time.monotonic()), server.name))
        server.announce_limit(rng.choice(RATE_LIMITS))
        await asyncio.sleep(rng.uniform(2, 8))
        server.withdraw_limit()


def limit_violations(fleet):
    """Returns messages on endpoints that got more than their rate limit allows
    from entries without a fault.
    """
    world, out = fleet.world, []
    for s in fleet.servers:
        for since, until_t, per_s in s.announced_limits:
            end = until_t or time.monotonic()
            if not since:
                continue
            times = [t for t, rid, _ in s.received_requests
                     if rid is not None and
                     since + LIMIT_KNOWN_S + world.lag <= t <= end and
                     not world.journal.harmed(world.sent_to.get(rid, ""),
                                              since - FAULT_TAIL_S, t)]
            worst, _ = most_in_window(times, WINDOW_S)
            allowed = RATIO * per_s * WINDOW_S + EXTRA
            if worst > allowed:
                out.append("%s stated %s a second and got %d in %.0f s, %.1f "
                           "are allowed" % (s.name, per_s, worst, WINDOW_S,
                                            allowed))
    return out


def senders(server, signals):
    return sorted({sender for _, sender, _ in signals})


def sent_by(server, sender):
    """Returns (time, incarnation) of each request from an entry, or from the
    server's agent.
    """
    return [(t, i) for t, rid, i in server.received_requests
            if server.sender(rid) == sender]


def backoff_violations(fleet):
    """Returns messages on endpoints that got more than MAX_IN_BACKOFF requests
    from a VM in a backoff that they had requested of it.

    A VM with a fault is excused, as it may have lost the backoff.
    """
    lag, out = fleet.world.lag, []
    for s in fleet.servers:
        for sender in senders(s, s.backoffs_requested):
            got = [t for t, _ in sent_by(s, sender)]
            for at, receiver, backoff_s in s.backoffs_requested:
                if receiver != sender or sender_disturbed(
                        fleet, s, sender, at, at + backoff_s):
                    continue
                n = sum(at + BACKOFF_DELAY_S + lag < t < at + backoff_s
                        for t in got)
                if n > MAX_IN_BACKOFF:
                    out.append("%s asked %s for %s s of backoff and got %d "
                               "requests in them" % (
                                   s.name, sender, backoff_s, n))
                    break
    return out


def drain_violations(fleet):
    """Returns messages on endpoints that got requests from an entry after they
    had stated to it that they drain.
    """
    lag, out = fleet.world.lag, []
    for s in fleet.servers:
        first = {}
        for at, sender, instance in s.drain_signals:
            first.setdefault((sender, instance), at)
        for (sender, instance), at in first.items():
            late = [t for t, i in sent_by(s, sender)
                    if i == instance and t > at + DRAIN_S + lag and
                    not sender_disturbed(fleet, s, sender, at, t)]
            if late and sender != AGENT:
                out.append("%s told %s that it drains and got a request "
                           "%.2f s later" % (s.name, sender, late[0] - at))
    return out


def sender_disturbed(fleet, server, sender, since, until):
    """Returns whether the sender had a fault or a stop in that time."""
    name = sender
    if sender == AGENT:
        name = server.name.replace("engine", AGENT)
    return fleet.world.journal.touched(name, since, until)


async def request_backoffs(faults, seconds):
    """Makes endpoints refuse all requests and request a backoff, for some
    seconds.
    """
    rng = random.Random("rests %d" % faults.seed)
    for _ in range(rng.randrange(0, 3) if faults.f.n_relays else 0):
        await asyncio.sleep(rng.uniform(0, seconds / 3))
        server = rng.choice(faults.f.servers)
        if server.backoff_s is not None:
            continue
        faults.log.append("%s rest of %s" % (
            faults.journal.at(time.monotonic()), server.name))
        with faults.journal.span(server.name, "rest"):
            server.backoff_s = rng.choice([0.8, 2, 3])
            await asyncio.sleep(rng.uniform(1, 5))
            server.backoff_s = None
