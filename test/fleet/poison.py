"""Scenarios of requests that end each endpoint that runs them."""
import asyncio
import random
import signal
import time

from look import leader_of, log_has, logged
from soak import FILL_S, RECOVERY_S, first_change, until
from soak_callers import Callers
from soak_faults import LEAVING_S, Faults
from soak_poison import CONTACT_S, ENDS, LATER, Sender

LOOK_S = 4.0         # so long is looked at what a stopped request does


def check_stopped(sender):
    third = sender.ends()[ENDS - 1]
    later = sender.ran_after(third + CONTACT_S)
    assert len(later) <= LATER, \
        "it reached endpoints %d times more, %d ended in all" % (
            len(later), len(sender.ends()))


async def poison_request_stops_reaching_endpoints(fleet):
    """Symptom: one endpoint after the other ends, and each takes with it the
    answers of all who were beside. Sequence: a request that ends whatever
    runs it comes again and again, under new ids, at any entry; each endpoint
    is back after a while. Cause: each entry takes each for a new request, and
    no process adds up what the others have seen.
    """
    callers, loops = await start(fleet)
    sender = Sender(fleet, "p", X_Model="m0", X_Events=50)

    async def served():
        return callers.answered.get("chat", 0) > 20

    async def third_end():
        return len(sender.ends()) >= ENDS

    loops.append(asyncio.ensure_future(sender.loop()))
    await until(third_end, 2 * RECOVERY_S, "it didn't end three endpoints")
    await asyncio.sleep(CONTACT_S + LOOK_S)
    check_stopped(sender)
    callers.forget()
    await until(served, RECOVERY_S, "chat isn't served beside it")
    callers.on = sender.on = False
    await asyncio.gather(*loops)
    check_stopped(sender)
    told = [a for a in sender.answers if a[0] > sender.ends()[2] + CONTACT_S]
    bad = [a for a in told if a[2] != 503 or float(
        a[3].get("retry-after", 0)) <= 0]
    assert len(bad) <= LATER, "not refused with a time: %s" % bad[:3]
    callers.check()
    fleet.check_processes()


async def start(fleet, n=8):
    """Callers beside whom the engines are filled; their loops."""
    await first_change(fleet.operators)
    callers = Callers(fleet, longest=20)

    async def served():
        return callers.answered.get("chat", 0) > 20

    loops = [asyncio.ensure_future(callers.loop(i)) for i in range(n)]
    await until(served, FILL_S + RECOVERY_S, "chat isn't served")
    return callers, loops


async def stop(callers, loops):
    callers.on = False
    await asyncio.gather(*loops)
    callers.check()


async def end_endpoints(sender, n, entries):
    """Send one at a time until it has ended n endpoints in all."""
    async def ended():
        await sender.one(entries[sender.n % len(entries)])
        return len(sender.ends()) >= n

    await until(ended, 2 * RECOVERY_S, "it didn't end %d endpoints" % n)


async def refused_everywhere(fleet, sender):
    """At each entry, with a time to come back; nothing reaches an endpoint."""
    before = len(fleet.world.poison.get(sender.body, []))

    async def all_refuse():
        del sender.answers[:]
        await asyncio.gather(*[sender.one(e) for e in fleet.entries])
        return all(status == 503 and float(f.get("retry-after", 0)) > 0
                   for _, _, status, f in sender.answers)

    await until(all_refuse, CONTACT_S, "an entry doesn't refuse it")
    after = len(fleet.world.poison.get(sender.body, []))
    assert after == before, "it reached endpoints %d times" % (after - before)


async def new_leader(fleet):
    """The one that leads is killed; wait for the next."""
    led = None

    async def leads():
        nonlocal led
        led = await leader_of(fleet)
        return led is not None

    await until(leads, RECOVERY_S, "nobody leads")
    p = fleet.procs["control-%d" % led]
    await p.end(signal.SIGKILL)
    await until(leads, RECOVERY_S, "nobody leads any more")
    p.start()


async def ends_are_added_up_over_a_change_of_leader(fleet):
    """Symptom: a request that has ended three endpoints ends more. Sequence:
    the leader that was told of two ends is killed before the third. Cause: it
    alone had added them up. Entries tell the next one what they have seen.
    """
    callers, loops = await start(fleet)
    sender = Sender(fleet, "p", X_Model="m0", X_Events=50)
    entries = sorted(fleet.entries)
    await end_endpoints(sender, ENDS - 1, entries)
    await new_leader(fleet)
    await end_endpoints(sender, ENDS, entries)
    await refused_everywhere(fleet, sender)
    assert len(sender.ends()) == ENDS, "%d ended" % len(sender.ends())
    await stop(callers, loops)


async def quarantine_outlasts_processes(fleet):
    """Symptom: a request that was stopped ends endpoints again. Sequence: the
    leader is killed, then each entry; the processes that saw the ends are gone.
    Cause: what was decided stood in them alone. Whoever is left tells it on.
    """
    callers, loops = await start(fleet)
    sender = Sender(fleet, "p", X_Model="m0", X_Events=50)
    await end_endpoints(sender, ENDS, sorted(fleet.entries))
    await refused_everywhere(fleet, sender)
    await new_leader(fleet)
    for name in sorted(fleet.entries):
        p = fleet.procs[name]
        await p.end(signal.SIGKILL)
        p.start()
        await refused_everywhere(fleet, sender)
    await new_leader(fleet)
    await refused_everywhere(fleet, sender)
    assert len(sender.ends()) == ENDS, "%d ended" % len(sender.ends())
    await stop(callers, loops)


async def entry_without_a_leader_counts_alone(fleet):
    """Symptom: while nobody leads, a request ends one endpoint after the other.
    Sequence: all control VMs are killed; the request comes to one entry. Cause:
    only the leader counts. An entry stops what it has seen itself, and tells
    the next leader, so that others needn't see it too.
    """
    callers, loops = await start(fleet)
    sender = Sender(fleet, "p", X_Model="m0", X_Events=50)
    first, other = sorted(fleet.entries)[:2]
    controls = fleet.of_role("control")
    for p in controls:
        await p.end(signal.SIGKILL)

    async def all_up():
        return all(e.server.is_serving() for e in fleet.engines)

    for n in range(ENDS):
        await until(all_up, RECOVERY_S, "an engine isn't back")
        # Nobody loads a model now, and an engine is back empty.
        for e in fleet.engines:
            e.held.setdefault("m0", set())
        await end_endpoints(sender, n + 1, [first])
    before = len(sender.ends())
    assert before == ENDS, "%d ended" % before
    del sender.answers[:]
    await sender.one(first)
    assert sender.answers[0][2] == 503, sender.answers
    for p in controls:
        p.start()
    await until(lambda: has_leader(fleet), RECOVERY_S, "nobody leads")

    async def told():
        return log_has(fleet, other, "event=leader_found") and \
            logged(fleet, "event=quarantined")

    await until(told, RECOVERY_S, "the next leader isn't told")
    await refused_everywhere(fleet, sender)
    assert len(sender.ends()) == ENDS, "%d ended" % len(sender.ends())
    callers.on = False
    await asyncio.gather(*loops)


async def has_leader(fleet):
    return await leader_of(fleet) is not None


async def other_ends_turn_nobody_away(fleet):
    """Symptom: callers are refused although their requests do no harm.
    Sequence: the same request runs again and again where endpoints leave as
    planned, their links are reset, go silent or refuse, and where they come
    back after that under another id. Cause: any connection that ends passes
    for an endpoint that ended.
    """
    callers, loops = await start(fleet)
    same = Sender(fleet, "same", X_Model="m0", X_Events=100)
    same.body = b"harmless"
    stay = Sender(fleet, "stay", path="/night/", X_Model="m1", X_Events=100)
    stay.body = b"harmless too"
    loops += [asyncio.ensure_future(s.loop()) for s in (same, stay)]
    faults = Faults(fleet, 1)
    rng = random.Random(1)
    links = fleet.proxies_of([e.name for e in fleet.engines])
    for _ in range(ENDS + 1):
        for p in links:
            await faults.link(rng, "reset", p)
            await asyncio.sleep(0.1)
        await asyncio.gather(*[faults.link(rng, how, p) for how, p in zip(
            ("refuse", "silence", "one_way"), links)])
    for e in fleet.engines[:2]:
        await leave(faults, e)
    callers.forget()
    del same.answers[:]

    async def served():
        return callers.answered.get("chat", 0) > 20 and any(
            a[2] == 200 for a in same.answers)

    await until(served, FILL_S + RECOVERY_S, "not served again")
    same.on = stay.on = False
    await stop(callers, loops)
    for name in fleet.entries:
        assert not log_has(fleet, name, "event=endpoint_ended"), \
            name + " takes a closed connection for an end"
    assert not logged(fleet, "event=quarantined"), "one was quarantined"


async def leave(faults, e):
    """As planned, under what runs there."""
    e.leave()
    await asyncio.sleep(LEAVING_S + 0.5)
    with faults.journal.span(e.name, "gone"):
        await e.crash()
        await asyncio.sleep(0.3)
        await e.start()


SCENARIOS = [poison_request_stops_reaching_endpoints,
             ends_are_added_up_over_a_change_of_leader,
             quarantine_outlasts_processes,
             entry_without_a_leader_counts_alone,
             other_ends_turn_nobody_away]
