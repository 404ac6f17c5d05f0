"""Scenarios of resumed streams while endpoints of several software versions
serve.
"""
import asyncio
import signal

from fleet_logs import leader_of
from soak import MODELS_LOADED_S, RECOVERY_S, await_first_change, until
from soak_versions import (MIN_RESUME_RATIO, TRIES, ResumingCaller,
                           mixed_version_streams, resumed_share)
from standin import MODELS

OLD, NEW, THIRD = "v1", "v2", "v3"
EVENTS = 150         # events of a stream, about 20 ms each
BEGUN = 3            # events received of each stream before the fault
STREAMS = 24         # concurrent streams of a scenario
# Time within which a stream that can't be resumed has to be refused, once that
# is known.
REFUSAL_BOUND_S = 0.5
# Tries of a caller while all entries are down.
PATIENT_TRIES = 60
# From a stream's begin until all of them are in the log.
LOGGED_S = 0.5
# From the end of a version's last endpoint until all processes are killed.
LEFT_BEFORE_S = (0.0, 0.6)
# Guaranteed share of the streams resumed while their version serves. Callers
# who hit the fault itself retry.
SHARE = 0.9


async def two_versions(fleet):
    """Restarts half of the engines as NEW; waits until all models are held."""
    await await_first_change(fleet.operators)
    for e in fleet.engines[len(fleet.engines) // 2:]:
        await e.restart(0.2, NEW)

    async def served():
        held = {m for e in fleet.engines for m in e.held}
        if held == set(MODELS):
            return True
        await asyncio.gather(*[request_stream(fleet, m) for m in MODELS])
        return False

    await until(served, 2 * MODELS_LOADED_S + RECOVERY_S,
                "not all models are held")


async def request_stream(fleet, model):
    """Requests a stream of one event, so that the model gets loaded."""
    t = ResumingCaller(fleet, "ask-%s" % model, model, 1,
                       sorted(fleet.entries)[:1])
    await t.run()


async def begin(fleet, name, entries, n=STREAMS, max_tries=TRIES):
    """Starts n callers of streams of all models at these entries, and waits
    until each has got its first events.
    """
    callers = [ResumingCaller(
        fleet, "%s-%d" % (name, i), "m%d" % (i % len(MODELS)), EVENTS,
        [entries[i % len(entries)]] +
        [e for e in sorted(fleet.entries, reverse=True) if e not in entries],
        max_tries=max_tries, begin_s=RECOVERY_S) for i in range(n)]
    for t in callers:
        t.task = asyncio.ensure_future(t.run())

    async def begun():
        return all(t.events >= BEGUN or t.done for t in callers)

    await until(begun, RECOVERY_S, "the streams don't begin")
    for t in callers:
        t.all_begun()
    return callers


async def end_all(callers):
    await asyncio.gather(*[t.task for t in callers])


def check(fleet, callers, share=SHARE):
    bad = mixed_version_streams(fleet.world)
    assert not bad, "%d streams of two versions: %s" % (len(bad), bad[0])
    got = resumed_share(callers)
    assert got >= share, \
        "%.2f of the resumed streams were completed: %s" % (
            got, [t.description for t in callers
                  if t.resume_tries and not t.whole][:3])
    fleet.check_processes()


async def streams_resume_at_their_version(fleet):
    """Guards against an answer with events of two versions.

    An entry is killed and engines of both versions restart while streams run.
    A stream must be resumed at the version that began it, both by the entry
    at which its caller resumes it and by an entry that resumes it by itself.
    """
    await two_versions(fleet)
    for i in range(3):
        callers = await begin(fleet, "k%d" % i, ["entry-0"])
        p = fleet.procs["entry-0"]
        await p.end(signal.SIGKILL)
        await asyncio.gather(fleet.engines[i % 2].restart(0.2),
                             fleet.engines[2 + i % 2].restart(0.2))
        p.start()
        await end_all(callers)
        check(fleet, callers)


async def streams_resume_after_leader_and_entry_are_killed(fleet):
    """Guards against answers of two versions, and against the refusal of all
    resumed streams, when the entry that began them and the leader are killed
    at the same time and their state is lost.
    """
    await two_versions(fleet)
    callers = await begin(fleet, "l", ["entry-0"])
    await asyncio.sleep(0.2)
    leader = await leader_of(fleet)
    p, q = fleet.procs["entry-0"], fleet.procs["control-%d" % leader]
    await asyncio.gather(p.end(signal.SIGKILL), q.end(signal.SIGKILL))
    p.start()
    q.start()
    await end_all(callers)
    check(fleet, callers)


async def stream_of_a_gone_version_is_refused(fleet):
    """Guards against a stream that is resumed at a version that can't read the
    state of the version that began it.

    All endpoints of a version restart as a third one, one of them under its
    old id, so that the id doesn't imply the version.
    """
    await two_versions(fleet)
    callers = await begin(fleet, "g", ["entry-0", "entry-1"])
    await fleet.procs["entry-0"].end(signal.SIGKILL)
    await asyncio.gather(fleet.engines[2].restart(0.2, "v3", keep_id=True),
                         fleet.engines[3].restart(0.2, "v3"))
    fleet.procs["entry-0"].start()
    await end_all(callers)
    # Streams of the remaining version are resumed.
    check(fleet, [t for t in callers if t.version == OLD])
    late = [t.description for t in callers
            if t.version == NEW and not t.whole and
            t.waited > REFUSAL_BOUND_S]
    assert not late, "refused late: %s" % late[0]


async def kill_all(fleet, roles=("entry", "control", "relay")):
    """Kills all processes of these roles at once, and starts them again."""
    procs = [p for p in fleet.procs.values() if p.role in roles]
    for p in procs:
        p.send(signal.SIGKILL)
    await asyncio.gather(*[p.end() for p in procs])
    for p in procs:
        p.start()


async def streams_outlive_all_entries_and_control_vms(fleet):
    """Guards against the refusal of all resumed streams, and against answers
    of two versions, when nobody is left who knows which version began them.
    """
    await two_versions(fleet)
    callers = await begin(fleet, "a", sorted(fleet.entries),
                          max_tries=PATIENT_TRIES)
    await asyncio.sleep(LOGGED_S)
    await kill_all(fleet)
    await end_all(callers)
    check(fleet, callers, MIN_RESUME_RATIO)


async def stream_of_a_version_that_left_before_all_were_killed(fleet):
    """Guards against a stream that is resumed at the only version that is
    listed after all entries and control VMs were killed, while the version
    that began it had just left.
    """
    await two_versions(fleet)
    for i, gap in enumerate(LEFT_BEFORE_S):
        callers = await begin(fleet, "b%d" % i, sorted(fleet.entries),
                              max_tries=PATIENT_TRIES)
        old = [e for e in fleet.engines if e.version == OLD]
        await asyncio.gather(*[e.restart(0.1, NEW) for e in old])
        await asyncio.sleep(gap)
        await kill_all(fleet)
        await end_all(callers)
        check(fleet, [t for t in callers if t.version == NEW],
              MIN_RESUME_RATIO)
        await asyncio.gather(*[e.restart(0.1, OLD) for e in old])
        for m in MODELS:
            await request_stream(fleet, m)


async def stream_of_one_of_three_versions_that_left(fleet):
    """Guards against a stream that is resumed at another version than its own,
    which had just left, as entries alone, or control VMs alone, were killed.
    """
    await two_versions(fleet)
    old, other = fleet.engines[:2]
    await other.restart(0.1, THIRD)
    for i, roles in enumerate((("entry",), ("control",))):
        for m in MODELS:
            await request_stream(fleet, m)
        callers = await begin(fleet, "d%d" % i, sorted(fleet.entries),
                              max_tries=PATIENT_TRIES)
        await old.restart(0.1, THIRD)
        await kill_all(fleet, roles)
        await end_all(callers)
        check(fleet, [t for t in callers if t.version == NEW],
              MIN_RESUME_RATIO)
        await old.restart(0.1, OLD)


SCENARIOS = [streams_resume_at_their_version,
             streams_resume_after_leader_and_entry_are_killed,
             stream_of_a_gone_version_is_refused]
# At the end of all scenarios, whose seeds follow from their places.
LATER_SCENARIOS = [streams_outlive_all_entries_and_control_vms,
                   stream_of_a_version_that_left_before_all_were_killed,
                   stream_of_one_of_three_versions_that_left]
