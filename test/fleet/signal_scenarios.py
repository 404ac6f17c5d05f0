"""Scenarios of the signals that endpoints state in their answers."""
import asyncio

from fleet_logs import control_log_count
from soak import (MODELS_LOADED_S, RECOVERY_S, await_first_change, until,
                  watch_lag)
from soak_callers import Callers
from soak_signals import (DRAIN_S, LIMIT_KNOWN_S, WINDOW_S, backoff_violations,
                        drain_violations, limit_violations)

CALLED = 50          # requests that an endpoint gets before its first signal


async def call_all(fleet, endpoints):
    """Callers at all entries, once each endpoint has got CALLED calls."""
    await await_first_change(fleet.operators)
    callers = Callers(fleet, longest=20)
    # While this process isn't scheduled, requests wait in their connections,
    # and look as if they had been sent late.
    callers.lag = asyncio.ensure_future(watch_lag(fleet.world))
    callers.loops = [asyncio.ensure_future(callers.loop(i)) for i in range(10)]

    async def served():
        return all(s.calls() > CALLED for s in endpoints)

    await until(served, MODELS_LOADED_S + RECOVERY_S, "they aren't called")
    return callers


async def end_all(fleet, callers):
    callers.on = False
    await asyncio.gather(*callers.loops)
    callers.lag.cancel()
    callers.check()
    fleet.check_processes()


async def limit_holds_over_all_entries(fleet):
    """Guards against entries that ignore a rate limit in answers.

    An engine and a plain endpoint state a limit under load at all entries,
    and later withdraw it.
    """
    limited = [fleet.engines[0], fleet.webs[0]]
    callers = await call_all(fleet, limited)
    for s in limited:
        s.announce_limit(1)

    async def known():
        return control_log_count(
            fleet, "event=endpoint_limit addr=") >= len(limited)

    await until(known, RECOVERY_S, "the leader isn't told")
    await asyncio.sleep(LIMIT_KNOWN_S + 2 * WINDOW_S)
    before = [s.calls() for s in limited]
    for s in limited:
        s.withdraw_limit()

    async def used_again():
        return all(s.calls() > n + 20 for s, n in zip(limited, before))

    await until(used_again, MODELS_LOADED_S + RECOVERY_S,
                "they aren't used again")
    await end_all(fleet, callers)
    assert not limit_violations(fleet), limit_violations(fleet)[0]


async def asked_rest_is_kept(fleet):
    """Guards against requests during an endpoint's backoff. An engine, which
    rejects its agent's reads too, and a plain endpoint request 3 s with each
    answer, for 8 s; then they serve again. A refusal taken for a full
    endpoint makes it the least loaded one by its next report.
    """
    rejecting = [fleet.engines[0], fleet.webs[0]]
    callers = await call_all(fleet, rejecting)
    for s in rejecting:
        s.backoff_s = 3
    await asyncio.sleep(8)
    for s in rejecting:
        s.backoff_s = None
    runs = {s.name: s.starts_of_runs() for s in rejecting}

    async def used_again():
        return all(s.starts_of_runs() > runs[s.name] + 5 for s in rejecting)

    await until(used_again, MODELS_LOADED_S + RECOVERY_S,
                "they aren't used again")
    await end_all(fleet, callers)
    assert all(s.backoffs_requested for s in rejecting), \
        "nobody was turned away"
    assert not backoff_violations(fleet), backoff_violations(fleet)[0]


async def leaving_is_heeded_before_the_list(fleet):
    """Guards against requests to an endpoint that states that it drains.

    The list still has it as ready. An engine and a plain
    endpoint drain, and the list is stale.
    """
    draining = [fleet.engines[0], fleet.webs[0]]
    callers = await call_all(fleet, draining)
    fleet.listing.frozen_body = fleet.listing.body()
    for s in draining:
        s.start_draining()

    async def drain_stated():
        # The engine's agent receives it first, and sends no caller there.
        return any(who in fleet.entries
                   for _, who, _ in fleet.webs[0].drain_signals)

    await until(drain_stated, RECOVERY_S, "no caller's answer says so")

    async def known():
        return control_log_count(fleet, "event=endpoint_leaving addr=") >= 1

    await until(known, RECOVERY_S, "the leader isn't told")
    await asyncio.sleep(2 * DRAIN_S)
    fleet.listing.frozen_body = None
    await end_all(fleet, callers)
    assert not drain_violations(fleet), drain_violations(fleet)[0]


SCENARIOS = [limit_holds_over_all_entries, asked_rest_is_kept,
             leaving_is_heeded_before_the_list]
