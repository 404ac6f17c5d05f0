"""What endpoints say of themselves in their answers: faults and checks."""
import asyncio
import random
import time

from soak_journal import most_in_window
from standin import AGENT

# Of the promise: from so long after a limit was first named, an endpoint gets
# in no window more than the ratio of what it allows, and some.
CONTACT_S = 3.0
WINDOW_S = 4.0
RATIO, EXTRA = 1.5, 5
# An endpoint that asked a VM for rest gets no more from it, from so long after
# that on, until the rest is over; one that said so that it leaves gets nothing
# from so long after that on.
BACKOFF_DELAY_S, MAX_IN_BACKOFF = 0.5, 2
DRAIN_S = 3.0
# A process that was harmed needs so long to hear again.
FAULT_TAIL_S = 2.5
RATE_LIMITS = [0.5, 1, 2, 5]


async def state_rate_limits(faults, seconds):
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
        server.name_limit(rng.choice(RATE_LIMITS))
        await asyncio.sleep(rng.uniform(2, 8))
        server.drop_limit()


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
            times = [t for t, rid, _ in s.got
                     if rid is not None and since + CONTACT_S + world.lag <= t <= end and
                     not world.journal.harmed(world.sent_to.get(rid, ""),
                                              since - FAULT_TAIL_S, t)]
            worst, _ = most_in_window(times, WINDOW_S)
            allowed = RATIO * per_s * WINDOW_S + EXTRA
            if worst > allowed:
                out.append("%s named %s a second and got %d in %.0f s, %.1f "
                           "are allowed" % (s.name, per_s, worst, WINDOW_S,
                                            allowed))
    return out


def senders(server, marks):
    return sorted({sender for _, sender, _ in marks})


def sent_by(server, sender):
    """(time, incarnation) of what came from an entry, or from its agent."""
    return [(t, i) for t, rid, i in server.got if server.sender(rid) == sender]


def over_rest(fleet):
    """Endpoints that got more than a request or two in a rest that they had
    asked a VM for, as text. A harmed process may have forgotten it.
    """
    lag, out = fleet.world.lag, []
    for s in fleet.servers:
        for sender in senders(s, s.asked):
            got = [t for t, _ in sent_by(s, sender)]
            for at, receiver, rest_s in s.asked:
                if receiver != sender or sender_disturbed(fleet, s, sender, at, at + rest_s):
                    continue
                n = sum(at + BACKOFF_DELAY_S + lag < t < at + rest_s for t in got)
                if n > MAX_IN_BACKOFF:
                    out.append("%s asked %s for %s s of rest and got %d "
                               "requests in them" % (s.name, sender, rest_s, n))
                    break
    return out


def over_leaving(fleet):
    """Endpoints that said that they leave and were sent to later, as text."""
    lag, out = fleet.world.lag, []
    for s in fleet.servers:
        first = {}
        for at, sender, instance in s.said:
            first.setdefault((sender, instance), at)
        for (sender, instance), at in first.items():
            late = [t for t, i in sent_by(s, sender)
                    if i == instance and t > at + DRAIN_S + lag and
                    not sender_disturbed(fleet, s, sender, at, t)]
            if late and sender != AGENT:
                out.append("%s said to %s that it leaves and got a request "
                           "%.2f s later" % (s.name, sender, late[0] - at))
    return out


def sender_disturbed(fleet, server, sender, since, until):
    """The sender was killed, frozen or stopped since."""
    name = sender
    if sender == AGENT:
        name = server.name.replace("engine", AGENT)
    return fleet.world.journal.touched(name, since, until)


async def request_backoffs(faults, seconds):
    """Endpoints turn everything away for some seconds, and ask for rest."""
    rng = random.Random("rests %d" % faults.seed)
    for _ in range(rng.randrange(0, 3) if faults.f.n_relays else 0):
        await asyncio.sleep(rng.uniform(0, seconds / 3))
        server = rng.choice(faults.f.servers)
        if server.rest_s is not None:
            continue
        faults.log.append("%s rest of %s" % (
            faults.journal.at(time.monotonic()), server.name))
        with faults.journal.span(server.name, "rest"):
            server.rest_s = rng.choice([0.8, 2, 3])
            await asyncio.sleep(rng.uniform(1, 5))
            server.rest_s = None
