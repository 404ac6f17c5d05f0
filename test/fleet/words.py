"""Scenarios of what endpoints say of themselves in their answers."""
import asyncio

from look import logged
from soak import FILL_S, RECOVERY_S, first_change, until
from soak_callers import Callers
from soak_words import CONTACT_S, WINDOW_S, over_limit


async def limit_holds_over_all_entries(fleet):
    """Symptom: an endpoint in need says how many requests it takes, and gets
    as many as before. Sequence: an engine and a plain endpoint name a limit
    while callers come to all entries; then they name none. Cause: the word is in the answers, and nobody reads it.
    """
    await first_change(fleet.operators)
    callers = Callers(fleet, longest=20)
    loops = [asyncio.ensure_future(callers.loop(i)) for i in range(10)]

    async def served():
        return all(len(s.got) > 5 for s in needy)

    needy = [fleet.engines[0], fleet.webs[0]]
    await until(served, FILL_S + RECOVERY_S, "they aren't called")
    for s in needy:
        s.name_limit(1)

    async def known():
        return logged(fleet, "event=endpoint_limit addr=") >= len(needy)

    await until(known, RECOVERY_S, "the leader isn't told")
    await asyncio.sleep(CONTACT_S + 2 * WINDOW_S)
    before = [len(s.got) for s in needy]
    for s in needy:
        s.drop_limit()

    async def used_again():
        return all(len(s.got) > n + 20 for s, n in zip(needy, before))

    await until(used_again, FILL_S + RECOVERY_S, "they aren't used again")
    callers.on = False
    await asyncio.gather(*loops)
    callers.check()
    fleet.check_processes()
    assert not over_limit(fleet), over_limit(fleet)[0]


SCENARIOS = [limit_holds_over_all_entries]
