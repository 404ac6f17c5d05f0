"""Scenarios of poison requests, which crash each endpoint that runs them."""
import asyncio
import random
import signal
import time

from fleet_logs import leader_of, log_has, control_log_count
from soak import MODELS_LOADED_S, RECOVERY_S, await_first_change, until
from soak_callers import Callers
from soak_faults import DRAIN_BOUND_S, Faults
from soak_poison import (CRASH_LIMIT, MAX_LATER_RUNS, POISON_KNOWN_S,
                         PoisonSender)

OBSERVE_S = 4.0      # time for which a quarantined request is observed


def check_quarantined(sender):
    """Checks that after CRASH_LIMIT crashes few requests reach endpoints."""
    third = sender.crash_times()[CRASH_LIMIT - 1]
    later = sender.ran_after(third + POISON_KNOWN_S)
    assert len(later) <= MAX_LATER_RUNS, \
        "it reached endpoints %d times more, %d crashed in all" % (
            len(later), len(sender.crash_times()))


async def poison_request_stops_reaching_endpoints(fleet):
    """Guards against a request that crashes one endpoint after the other, with
    all answers in progress there.

    The request arrives repeatedly, under new ids, at any entry. Entries that
    don't share the crashes that they see take each arrival for a new request.
    """
    callers, loops = await start(fleet)
    sender = PoisonSender(fleet, "p", X_Model="m0", X_Events=50)

    async def served():
        return callers.answered.get("chat", 0) > 20

    async def third_crash():
        return len(sender.crash_times()) >= CRASH_LIMIT

    loops.append(asyncio.ensure_future(sender.loop()))
    await until(third_crash, 2 * RECOVERY_S, "it didn't crash three endpoints")
    await asyncio.sleep(POISON_KNOWN_S + OBSERVE_S)
    check_quarantined(sender)
    callers.reset_counts()
    await until(served, RECOVERY_S, "chat isn't served beside it")
    callers.on = sender.on = False
    await asyncio.gather(*loops)
    check_quarantined(sender)
    late = [a for a in sender.answers
            if a[0] > sender.crash_times()[2] + POISON_KNOWN_S]
    bad = [a for a in late if a[2] != 503 or float(
        a[3].get("retry-after", 0)) <= 0]
    assert len(bad) <= MAX_LATER_RUNS, "not refused with a time: %s" % bad[:3]
    callers.check()
    fleet.check_processes()


async def start(fleet, n=8):
    """Starts n callers and waits until the engines have loaded models;
    returns the callers and their loops.
    """
    await await_first_change(fleet.operators)
    callers = Callers(fleet, longest=20)

    async def served():
        return callers.answered.get("chat", 0) > 20

    loops = [asyncio.ensure_future(callers.loop(i)) for i in range(n)]
    await until(served, MODELS_LOADED_S + RECOVERY_S, "chat isn't served")
    return callers, loops


async def stop(callers, loops):
    callers.on = False
    await asyncio.gather(*loops)
    callers.check()


async def crash_endpoints(sender, n, entries):
    """Sends the request, one at a time, until it has crashed n endpoints in
    total.
    """
    async def crashed():
        await sender.send_once(entries[sender.n % len(entries)])
        return len(sender.crash_times()) >= n

    await until(crashed, 2 * RECOVERY_S, "it didn't crash %d endpoints" % n)


async def check_refused_everywhere(fleet, sender):
    """Checks that each entry refuses the request with a Retry-After, and that
    it reaches no endpoint.
    """
    before = len(fleet.world.poison.get(sender.body, []))

    async def all_refuse():
        del sender.answers[:]
        await asyncio.gather(*[sender.send_once(e) for e in fleet.entries])
        return all(status == 503 and float(f.get("retry-after", 0)) > 0
                   for _, _, status, f in sender.answers)

    await until(all_refuse, POISON_KNOWN_S, "an entry doesn't refuse it")
    after = len(fleet.world.poison.get(sender.body, []))
    assert after == before, "it reached endpoints %d times" % (after - before)


async def new_leader(fleet):
    """Kills the leader, waits for the next one, and restarts the killed VM."""
    leader = None

    async def leads():
        nonlocal leader
        leader = await leader_of(fleet)
        return leader is not None

    await until(leads, RECOVERY_S, "no leader")
    p = fleet.procs["control-%d" % leader]
    await p.end(signal.SIGKILL)
    await until(leads, RECOVERY_S, "no next leader")
    p.start()


async def crash_count_survives_a_change_of_leader(fleet):
    """Guards against a count of crashes that is lost with the leader.

    The leader that received reports of two crashes is killed before the third.
    Entries report to the next leader the crashes that they have seen.
    """
    callers, loops = await start(fleet)
    sender = PoisonSender(fleet, "p", X_Model="m0", X_Events=50)
    entries = sorted(fleet.entries)
    await crash_endpoints(sender, CRASH_LIMIT - 1, entries)
    await new_leader(fleet)
    await crash_endpoints(sender, CRASH_LIMIT, entries)
    await check_refused_everywhere(fleet, sender)
    assert len(sender.crash_times()) == CRASH_LIMIT, \
        "%d crashed" % len(sender.crash_times())
    await stop(callers, loops)


async def quarantine_survives_killed_processes(fleet):
    """Guards against a quarantine that is lost with the processes that saw the
    crashes.

    The leader is killed, then each entry in turn. The remaining processes pass
    the quarantine on.
    """
    callers, loops = await start(fleet)
    sender = PoisonSender(fleet, "p", X_Model="m0", X_Events=50)
    await crash_endpoints(sender, CRASH_LIMIT, sorted(fleet.entries))
    await check_refused_everywhere(fleet, sender)
    await new_leader(fleet)
    for name in sorted(fleet.entries):
        p = fleet.procs[name]
        await p.end(signal.SIGKILL)
        p.start()
        await check_refused_everywhere(fleet, sender)
    await new_leader(fleet)
    await check_refused_everywhere(fleet, sender)
    assert len(sender.crash_times()) == CRASH_LIMIT, \
        "%d crashed" % len(sender.crash_times())
    await stop(callers, loops)


async def entry_quarantines_without_a_leader(fleet):
    """Guards against a poison request that isn't quarantined while there is no
    leader.

    All control VMs are killed, and the request arrives at one entry, which
    quarantines it by the crashes it has seen itself, and reports them to the
    next leader for the other entries.
    """
    callers, loops = await start(fleet)
    sender = PoisonSender(fleet, "p", X_Model="m0", X_Events=50)
    first, *others = sorted(fleet.entries)
    controls = fleet.of_role("control")
    for p in controls:
        await p.end(signal.SIGKILL)

    async def all_up():
        return all(e.server.is_serving() for e in fleet.engines)

    for n in range(CRASH_LIMIT):
        await until(all_up, RECOVERY_S, "an engine isn't back")
        # A restarted engine is empty, and without a leader no model is loaded.
        for e in fleet.engines:
            e.held.setdefault("m0", set())
        await crash_endpoints(sender, n + 1, [first])
    before = len(sender.crash_times())
    assert before == CRASH_LIMIT, "%d crashed" % before
    del sender.answers[:]
    await sender.send_once(first)
    assert sender.answers[0][2] == 503, sender.answers
    for p in controls:
        p.start()
    await until(lambda: has_leader(fleet), RECOVERY_S, "no leader")

    async def reported():
        return control_log_count(fleet, "event=quarantined") and all(
            log_has(fleet, e, "event=quarantine_received") for e in others)

    await until(reported, RECOVERY_S,
                "the crashes aren't reported to the next leader, or not passed "
                "on to the other entries")
    await check_refused_everywhere(fleet, sender)
    assert len(sender.crash_times()) == CRASH_LIMIT, \
        "%d crashed" % len(sender.crash_times())
    callers.on = False
    await asyncio.gather(*loops)


async def has_leader(fleet):
    return await leader_of(fleet) is not None


async def closed_connections_quarantine_no_request(fleet):
    """Guards against the quarantine of harmless requests, when any closed
    connection counts as a crash.

    The same two requests run repeatedly while connections of endpoints are
    reset, go silent or are refused, and while endpoints drain and return under
    another id.
    """
    callers, loops = await start(fleet)
    same = PoisonSender(fleet, "same", X_Model="m0", X_Events=100)
    same.body = b"harmless"
    stay = PoisonSender(fleet, "stay", path="/night/", X_Model="m1",
                        X_Events=100)
    stay.body = b"harmless too"
    loops += [asyncio.ensure_future(s.loop()) for s in (same, stay)]
    faults = Faults(fleet, 1)
    rng = random.Random(1)
    links = fleet.proxies_of([e.name for e in fleet.engines])
    for _ in range(CRASH_LIMIT + 1):
        for p in links:
            await faults.link(rng, "reset", p)
            await asyncio.sleep(0.1)
        await asyncio.gather(*[faults.link(rng, how, p) for how, p in zip(
            ("refuse", "silence", "one_way"), links)])
    for e in fleet.engines[:2]:
        await drain_and_restart(faults, e)
    callers.reset_counts()
    del same.answers[:]

    async def served():
        return callers.answered.get("chat", 0) > 20 and any(
            a[2] == 200 for a in same.answers)

    await until(served, MODELS_LOADED_S + RECOVERY_S, "not served again")
    same.on = stay.on = False
    await stop(callers, loops)
    for name in fleet.entries:
        assert not log_has(fleet, name, "event=endpoint_ended"), \
            name + " takes a closed connection for a crash"
    assert not control_log_count(fleet, "event=quarantined"), \
        "a harmless request was quarantined"


async def drain_and_restart(faults, e):
    """Drains the endpoint with requests running, then restarts it."""
    e.start_draining()
    await asyncio.sleep(DRAIN_BOUND_S + 0.5)
    with faults.journal.span(e.name, "gone"):
        await e.crash()
        await asyncio.sleep(0.3)
        await e.start()


SCENARIOS = [poison_request_stops_reaching_endpoints,
             crash_count_survives_a_change_of_leader,
             quarantine_survives_killed_processes,
             entry_quarantines_without_a_leader,
             closed_connections_quarantine_no_request]
