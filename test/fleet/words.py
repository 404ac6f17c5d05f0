"""Scenarios of what endpoints say of themselves in their answers."""
import asyncio

from look import logged
from soak import FILL_S, RECOVERY_S, first_change, until, watch_lag
from soak_callers import Callers
from soak_words import (CONTACT_S, DRAIN_S, WINDOW_S, over_leaving,
                        over_limit, over_rest)

CALLED = 50          # requests that an endpoint gets before it says anything


async def call_all(fleet, called):
    """Callers at all entries, once so many endpoints have been called."""
    await first_change(fleet.operators)
    callers = Callers(fleet, longest=20)
    # What lies in a connection while this process gets no processor is read
    # late, and looks as if it had been sent late.
    callers.lag = asyncio.ensure_future(watch_lag(fleet.world))
    callers.loops = [asyncio.ensure_future(callers.loop(i)) for i in range(10)]

    async def served():
        return all(s.calls() > CALLED for s in called)

    await until(served, FILL_S + RECOVERY_S, "they aren't called")
    return callers


async def end_all(fleet, callers):
    callers.on = False
    await asyncio.gather(*callers.loops)
    callers.lag.cancel()
    callers.check()
    fleet.check_processes()


async def limit_holds_over_all_entries(fleet):
    """Symptom: an endpoint in need says how many requests it takes, and gets
    as many as before. Sequence: an engine and a plain endpoint name a limit
    while callers come to all entries; then they name none. Cause: the word is
    in the answers, and nobody reads it.
    """
    needy = [fleet.engines[0], fleet.webs[0]]
    callers = await call_all(fleet, needy)
    for s in needy:
        s.name_limit(1)

    async def known():
        return logged(fleet, "event=endpoint_limit addr=") >= len(needy)

    await until(known, RECOVERY_S, "the leader isn't told")
    await asyncio.sleep(CONTACT_S + 2 * WINDOW_S)
    before = [s.calls() for s in needy]
    for s in needy:
        s.drop_limit()

    async def used_again():
        return all(s.calls() > n + 20 for s, n in zip(needy, before))

    await until(used_again, FILL_S + RECOVERY_S, "they aren't used again")
    await end_all(fleet, callers)
    assert not over_limit(fleet), over_limit(fleet)[0]


async def asked_rest_is_kept(fleet):
    """Symptom: an endpoint turns all away and asks for rest, and gets
    hundreds of requests. Sequence: an engine, its agent's reads included, and
    a plain endpoint ask for 3 s each time, for 8 s; then they serve again.
    Cause: a refusal passes for a full endpoint, which is the emptiest by the
    next report.
    """
    tired = [fleet.engines[0], fleet.webs[0]]
    callers = await call_all(fleet, tired)
    for s in tired:
        s.rest_s = 3
    await asyncio.sleep(8)
    for s in tired:
        s.rest_s = None
    runs = {s.name: s.starts_of_runs() for s in tired}

    async def used_again():
        return all(s.starts_of_runs() > runs[s.name] + 5 for s in tired)

    await until(used_again, FILL_S + RECOVERY_S, "they aren't used again")
    await end_all(fleet, callers)
    assert all(s.asked for s in tired), "nobody was turned away"
    assert not over_rest(fleet), over_rest(fleet)[0]


async def leaving_is_heeded_before_the_list(fleet):
    """Symptom: an endpoint that says in its answers that it leaves gets
    requests for as long as the list calls it ready. Sequence: the list goes on
    telling the same, an engine and a plain endpoint leave. Cause: only the
    list and the engine's report were believed.
    """
    going = [fleet.engines[0], fleet.webs[0]]
    callers = await call_all(fleet, going)
    fleet.listing.old = fleet.listing.body()
    for s in going:
        s.leave()

    async def said():
        # The engine's agent hears it first, and no caller is sent there.
        return any(who in fleet.entries for _, who, _ in fleet.webs[0].said)

    await until(said, RECOVERY_S, "no caller's answer says so")

    async def known():
        return logged(fleet, "event=endpoint_leaving addr=") >= 1

    await until(known, RECOVERY_S, "the leader isn't told")
    await asyncio.sleep(2 * DRAIN_S)
    fleet.listing.old = None
    await end_all(fleet, callers)
    assert not over_leaving(fleet), over_leaving(fleet)[0]


SCENARIOS = [limit_holds_over_all_entries, asked_rest_is_kept,
             leaving_is_heeded_before_the_list]
