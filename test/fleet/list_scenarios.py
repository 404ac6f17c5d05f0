"""Scenarios of the list of endpoints: it is late, or corrupt in parts, while
engines restart and orders arrive late.
"""
import asyncio
import json
import signal

from fleet_logs import leader_of, log_has, control_log_count
from soak import MODELS_LOADED_S, RECOVERY_S, await_first_change, until
from soak_callers import Callers
from standin import LATE


async def restarted_engine_serves_before_it_is_listed(fleet):
    """Guards against an engine that gets no calls after a restart under
    another id until the list has that id.
    """
    await await_first_change(fleet.operators)
    callers = Callers(fleet)
    loops = [asyncio.ensure_future(callers.loop(i)) for i in range(8)]
    e = fleet.engines[0]

    count_streams(e)

    async def called():
        return e.streams > 0

    await until(called, RECOVERY_S, "the engine isn't called")
    fleet.listing.frozen_body = fleet.listing.body()
    await e.crash()
    e.streams = 0
    await e.start()
    await until(called, RECOVERY_S, "the restarted engine isn't called")
    assert fleet.listing.frozen_body, "the list had the new id"
    callers.on = False
    await asyncio.gather(*loops)
    fleet.listing.frozen_body = None


async def order_arrives_after_a_restart(fleet):
    """Guards against an engine that is ordered to load more than fits, and
    crashes.

    An order to load a model gets no answer. The engine restarts under its id
    and loads other models, and the lost order arrives once the sequence number
    is the one that it expects. Id and sequence number don't identify an
    incarnation.
    """
    await await_first_change(fleet.operators)
    # An engine with calls for all its models at all times gets no orders.
    callers = Callers(fleet, longest=7)

    async def served():
        return callers.answered.get("chat", 0) > 5

    loops = [asyncio.ensure_future(callers.loop(i)) for i in range(8)]
    await until(served, RECOVERY_S, "chat isn't served")
    # Two engines can't hold all models, so that loads never cease.
    for e in fleet.engines[2:]:
        await e.crash()
    for n in range(8):
        e = fleet.engines[n % 2]
        e.loads_to_lose = 1

        async def lost():
            return not e.loads_to_lose

        await until(lost, RECOVERY_S, "no load was ordered")
        await e.crash()
        await e.start(keep_id=True)
        callers.answered.clear()
        # Memory is reserved for the lost load until it can't arrive any more.
        await until(served, LATE + RECOVERY_S, "chat isn't served again")
    callers.on = False
    await asyncio.gather(*loops)
    callers.check()
    fleet.check_processes()


async def list_lags_behind_a_restart(fleet):
    """Guards against calls for models that an engine lost in a restart.

    The engine restarts under its id while the list still has its former
    incarnation; the leader is killed, and the next one starts from that list.
    With equal ids, the state that was received last may be the older one.
    """
    await await_first_change(fleet.operators)
    callers = Callers(fleet)
    loops = [asyncio.ensure_future(callers.loop(i)) for i in range(8)]
    e = fleet.engines[0]

    async def holds():
        return e.held and e.running

    def noticed(name):
        return log_has(fleet, name, "event=endpoint_restarted addr=%s id=%s "
                       "started=%d" % (e.listed, e.instance, e.started_ms))

    await until(holds, RECOVERY_S, "the engine isn't called")
    fleet.listing.frozen_body, before = fleet.listing.body(), e.started_ms
    await e.crash()
    await e.start(keep_id=True)
    leader = await leader_of(fleet)

    async def all_noticed():
        return noticed("control-%d" % leader) and \
            all(noticed(name) for name in fleet.entries)

    await until(all_noticed, RECOVERY_S, "the restart wasn't noticed")
    await until(holds, RECOVERY_S, "the restarted engine isn't called")
    await fleet.procs["control-%d" % leader].end(signal.SIGKILL)

    async def another_leads():
        return await leader_of(fleet) not in (None, leader)

    await until(another_leads, RECOVERY_S, "no leader")
    name = "control-%d" % await leader_of(fleet)

    # The reports of its agent and the list arrive in any order.
    async def next_one_knows():
        late = "addr=%s id=%s started=%d version=%s service=lm leaving=0 " \
            "models=0 late=1" % (e.listed, e.instance, before, e.version)
        return noticed(name) or log_has(fleet, name, late)

    await until(next_one_knows, RECOVERY_S, "the next leader doesn't know")
    await until(holds, RECOVERY_S,
                "the engine isn't called under the next leader")
    fleet.procs["control-%d" % leader].start()
    callers.on = False
    await asyncio.gather(*loops)
    callers.check()
    fleet.check_processes()


def corrupt_slots(s):
    """Returns a function that sets the slots of the server's list item to a
    value that isn't a number.
    """
    def corrupt(text):
        page = json.loads(text)
        for e in page["instances"]:
            if e["id"] == s.instance:
                e["slots"] = "many"
        return json.dumps(page)
    return corrupt


def truncate_item(s):
    """Returns a function that cuts the server's list item off within its
    address.
    """
    def corrupt(text):
        at = text.index(s.listed)
        return text[:at + 4] + text[text.index("}", text.index("]", at)):]
    return corrupt


def truncate_page(text):
    """Cuts the page off within its first item, which is the first engine's."""
    return text[:text.index("addr") + 9]


def leader_changes(fleet):
    return control_log_count(fleet, "event=lead begins")


def count_streams(e):
    """Counts the streams that the engine gets, in e.streams."""
    inner, e.streams = e.stream, 0

    async def stream(*args):
        e.streams += 1
        await inner(*args)

    e.stream = stream


TRUNCATED_PAGE_TRIES = 3


async def check_avoided(fleet, e, callers):
    """Checks that new calls avoid the engine and are served by the others."""
    corrupt_pages = fleet.listing.corrupt_pages

    async def read():
        # The second page is requested after the first has been read.
        return fleet.listing.corrupt_pages >= corrupt_pages + 2

    await until(read, RECOVERY_S, "the list isn't read")

    async def gets_none():
        # Calls that were sent before have started by now.
        before = e.streams
        await asyncio.sleep(0.3)
        return e.streams == before

    await until(gets_none, RECOVERY_S, "the engine gets new calls")
    before = e.streams
    callers.answered.clear()

    async def served():
        return callers.answered.get("chat", 0) > 20

    await until(served, RECOVERY_S, "chat isn't served by the others")
    assert e.streams == before, "the engine got a new call"


async def check_truncated_page(fleet, e, callers, used):
    """Checks the same for a page that ends within its first item.

    A leader that is elected meanwhile knows no endpoint and refuses calls; the
    check is then repeated.
    """
    for _ in range(TRUNCATED_PAGE_TRIES):
        fleet.listing.corrupt_page = None
        e.streams = 0
        await until(used, MODELS_LOADED_S + RECOVERY_S,
                    "the engine isn't used again")
        began, truncated_before = (
            leader_changes(fleet), control_log_count(fleet, " whole=0"))
        fleet.listing.corrupt_page = truncate_page

        async def noticed():
            return control_log_count(fleet, " whole=0") > truncated_before

        await until(noticed, RECOVERY_S, "the truncated page isn't logged")
        try:
            await check_avoided(fleet, e, callers)
            return
        except (AssertionError, TimeoutError):
            if leader_changes(fleet) == began:
                raise
    raise AssertionError("the leader changed in each try")


async def corrupt_list_item_suspends_its_engine(fleet):
    """Guards against a corrupt item in the list of endpoints by which all
    endpoints are lost, or the item's engine is removed.

    The item of an engine gets an invalid field, then it is truncated, then the
    page ends within it. An unreadable item must neither invalidate the list
    nor pass for a removed endpoint.
    """
    await await_first_change(fleet.operators)
    callers = Callers(fleet)
    e = fleet.engines[0]
    count_streams(e)

    async def used():
        return e.streams > 10

    loops = [asyncio.ensure_future(callers.loop(i)) for i in range(8)]
    for corrupt in (corrupt_slots(e), truncate_item(e)):
        e.streams = 0
        await until(used, MODELS_LOADED_S + RECOVERY_S,
                    "the engine isn't used")
        fleet.listing.corrupt_page = corrupt
        await check_avoided(fleet, e, callers)
        fleet.listing.corrupt_page = None
    await check_truncated_page(fleet, e, callers, used)
    assert not control_log_count(fleet, "event=endpoint_gone"), \
        "an endpoint was removed"
    assert control_log_count(
        fleet, "event=endpoint_unreadable addr=%s " % e.listed), \
        "the corrupt item isn't logged"
    callers.on = False
    await asyncio.gather(*loops)
    callers.check()
    fleet.check_processes()
