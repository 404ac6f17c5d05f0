"""Scenarios of signals in endpoints' answers: rate limit, backoff, draining.
"""
import asyncio

from fleet_logs import control_log_count
from soak import (MODELS_LOADED_S, RECOVERY_S, await_first_change, until,
                  watch_lag)
from soak_callers import Callers
from soak_signals import (DRAIN_S, LIMIT_KNOWN_S, WINDOW_S, backoff_violations,
                        drain_violations, limit_violations)

CALLED = 50          # requests that an endpoint gets before its first signal


async def call_all(fleet, endpoints):
    """Starts callers at all entries, and waits until each of the endpoints has
    got more than CALLED calls.
    """
    await await_first_change(fleet.operators)
    callers = Callers(fleet, longest=20)
    # While this process isn't scheduled, requests wait in their connections
    # and appear to be sent late; the checks allow for that lag.
    callers.lag = asyncio.ensure_future(watch_lag(fleet.world))
    callers.loops = [asyncio.ensure_future(callers.loop(i)) for i in range(10)]

    async def served():
        return all(s.calls() > CALLED for s in endpoints)

    await until(served, MODELS_LOADED_S + RECOVERY_S,
                "the endpoints aren't called")
    return callers


async def end_all(fleet, callers):
    callers.on = False
    await asyncio.gather(*callers.loops)
    callers.lag.cancel()
    callers.check()
    fleet.check_processes()


async def limit_holds_over_all_entries(fleet):
    """Guards against entries that ignore a rate limit in answers.

    An engine and a plain endpoint state a limit while calls arrive at all
    entries, and later withdraw it.
    """
    limited = [fleet.engines[0], fleet.webs[0]]
    callers = await call_all(fleet, limited)
    for s in limited:
        s.announce_limit(1)

    async def known():
        return control_log_count(
            fleet, "event=endpoint_limit addr=") >= len(limited)

    await until(known, RECOVERY_S, "the leader doesn't know it")
    await asyncio.sleep(LIMIT_KNOWN_S + 2 * WINDOW_S)
    before = [s.calls() for s in limited]
    for s in limited:
        s.withdraw_limit()

    async def used_again():
        return all(s.calls() > n + 20 for s, n in zip(limited, before))

    await until(used_again, MODELS_LOADED_S + RECOVERY_S,
                "the endpoints aren't used again")
    await end_all(fleet, callers)
    assert not limit_violations(fleet), limit_violations(fleet)[0]


async def requested_backoff_is_kept(fleet):
    """Guards against requests during a backoff that an endpoint requested.

    For 8 s an engine (also towards its agent) and a plain endpoint refuse all
    requests, each time with a backoff of 3 s; then they serve again. An entry
    that takes a refusal for a full endpoint sends it hundreds of requests,
    since by its next report the endpoint is the least loaded one.
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
                "the endpoints aren't used again")
    await end_all(fleet, callers)
    assert all(s.backoffs_requested for s in rejecting), \
        "no request was refused"
    assert not backoff_violations(fleet), backoff_violations(fleet)[0]


async def drain_signal_applies_before_the_list(fleet):
    """Guards against requests to an endpoint that states that it drains, while
    the list still has it as ready.

    An engine and a plain endpoint drain, and the list stays at its old state.
    The list and the engine's report must not be the only sources of that
    state.
    """
    draining = [fleet.engines[0], fleet.webs[0]]
    callers = await call_all(fleet, draining)
    fleet.listing.frozen_body = fleet.listing.body()
    for s in draining:
        s.start_draining()

    async def drain_stated():
        # Only the plain endpoint is checked: the engine's agent gets the
        # signal first, and then no caller's request is sent to the engine.
        return any(who in fleet.entries
                   for _, who, _ in fleet.webs[0].drain_signals)

    await until(drain_stated, RECOVERY_S, "no answer to a caller states it")

    async def known():
        return control_log_count(fleet, "event=endpoint_leaving addr=") >= 1

    await until(known, RECOVERY_S, "the leader doesn't know it")
    await asyncio.sleep(2 * DRAIN_S)
    fleet.listing.frozen_body = None
    await end_all(fleet, callers)
    assert not drain_violations(fleet), drain_violations(fleet)[0]


SCENARIOS = [limit_holds_over_all_entries, requested_backoff_is_kept,
             drain_signal_applies_before_the_list]
