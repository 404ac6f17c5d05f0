"""Scenarios of a poison part of prompts, in requests that are never alike."""
import asyncio
import json
import signal
import time

from soak import RECOVERY_S, until
from soak_parts import (MAX_LATER_REQUESTS, PART_CRASH_LIMIT, PART_KNOWN_S,
                        PromptSender, crash_times, head_and_event, head_only,
                        nothing, reached_after)
from poison import start, stop

POISON_PART = "bad0bad0"
SHARED_PARTS = ("5c1e07a2", "91bd3f06", "e4402b7d")
OBSERVE_S = 5.0      # time for which a quarantined part is observed
BEFORE_S = 3.0       # time before the poison requests, to compare with
# Share of sound requests that are served, against before.
MIN_SOUND_SHARE = 0.5


def check_reached(fleet):
    """Checks that after PART_CRASH_LIMIT crashes few requests with the part
    reach endpoints.
    """
    crashes = crash_times(fleet, POISON_PART)
    if len(crashes) < PART_CRASH_LIMIT:
        return
    later = reached_after(fleet, POISON_PART,
                          crashes[PART_CRASH_LIMIT - 1] + PART_KNOWN_S)
    assert len(later) <= MAX_LATER_REQUESTS, \
        "requests with it reached endpoints %d times more, %d crashed in " \
        "all" % (len(later), len(crashes))


async def poison_part_is_stopped(fleet, place, written):
    """Sends requests with a poison part at a place of the prompt, beside sound
    ones with the same other parts; checks both.
    """
    callers, loops = await start(fleet)
    parts = list(SHARED_PARTS)
    parts.insert(place, POISON_PART)
    sound = PromptSender(fleet, "sound", SHARED_PARTS, interval_s=0.1)
    other = PromptSender(fleet, "long", SHARED_PARTS[:1], interval_s=0.2,
                         events=60)
    bad = PromptSender(fleet, "bad", parts)
    fleet.world.poison_parts[POISON_PART] = written
    loops += [asyncio.ensure_future(s.loop()) for s in (sound, other)]

    async def served():
        return any(a[2] == 200 for a in sound.answers)

    await until(served, RECOVERY_S, "sound requests aren't served")
    begin = time.monotonic()
    await asyncio.sleep(BEFORE_S)
    bad_since = time.monotonic()
    loops.append(asyncio.ensure_future(bad.loop()))

    async def crashed():
        return len(crash_times(fleet, POISON_PART)) >= 3

    await until(crashed, 2 * RECOVERY_S, "it didn't crash three endpoints")
    await asyncio.sleep(2 * PART_KNOWN_S)
    calm = time.monotonic()
    await asyncio.sleep(OBSERVE_S)
    sound.on = other.on = bad.on = False
    end = time.monotonic()
    await stop(callers, loops)
    check_reached(fleet)
    before, after = (sound.served_share(begin, bad_since),
                     sound.served_share(calm, end))
    assert after >= MIN_SOUND_SHARE * before, \
        "sound requests served: %.2f before, %.2f after" % (before, after)
    late = [a for a in bad.answers if a[0] > calm]
    wrong = [a[2:4] for a in late if a[2] != 503 or
             b"\"not_run\"" not in a[4]]
    assert len(wrong) <= MAX_LATER_REQUESTS, \
        "not refused: %s" % wrong[:3]
    fleet.check_processes()


async def poison_part_at_the_first_place_is_stopped(fleet):
    """Guards against one part of prompts that crashes endpoint after endpoint
    in requests that are never alike; here the first part, before any byte.
    """
    await poison_part_is_stopped(fleet, 0, nothing)


async def poison_part_in_the_middle_is_stopped(fleet):
    """Guards against the same with a part in the middle of prompts whose first
    part all sound requests share, after the head of an answer.
    """
    await poison_part_is_stopped(fleet, 1, head_only)


async def poison_part_before_the_last_is_stopped(fleet):
    """Guards against the same with the last part but one, after the first
    event of an answer, which mustn't pass for a proof that the part is sound.
    """
    await poison_part_is_stopped(fleet, 3, head_and_event)


async def crash_with_part(fleet, sender, n):
    """Sends requests with the poison part, one at a time, until it has crashed
    n endpoints in total.
    """
    entries = sorted(fleet.entries)

    async def crashed():
        await sender.send_once(entries[sender.n % len(entries)])
        return len(crash_times(fleet, POISON_PART)) >= n

    await until(crashed, 2 * RECOVERY_S, "it didn't crash %d endpoints" % n)


async def check_refused_everywhere(fleet, sender):
    """Checks that each entry refuses requests with the part, and that none
    reaches an endpoint from then on.
    """
    async def all_refuse():
        del sender.answers[:]
        await asyncio.gather(*[sender.send_once(e) for e in fleet.entries])
        return all(a[2] == 503 and b"quarantined" in a[4]
                   for a in sender.answers)

    await until(all_refuse, RECOVERY_S, "an entry doesn't refuse it")


async def quarantined_part_outlasts_all_processes(fleet):
    """Guards against a poison part that crashes as many endpoints again after
    all processes were killed at once: no process is left that counted.
    """
    callers, loops = await start(fleet)
    fleet.world.poison_parts[POISON_PART] = head_only
    sender = PromptSender(fleet, "bad", (SHARED_PARTS[0], POISON_PART))
    await crash_with_part(fleet, sender, 3)
    await check_refused_everywhere(fleet, sender)
    for _ in range(2):
        await kill_all(fleet)
        await check_refused_everywhere(fleet, sender)
    n = len(crash_times(fleet, POISON_PART))
    assert n == 3, "%d endpoints crashed" % n
    callers.on = False
    await asyncio.gather(*loops)


async def kill_all(fleet):
    """Kills all processes at the same moment, and starts them again."""
    for p in fleet.procs.values():
        p.send(signal.SIGKILL)
    await asyncio.gather(*[p.end() for p in fleet.procs.values()])
    for p in fleet.procs.values():
        p.start()


async def operator_lifts_a_quarantined_part(fleet):
    """Guards against a part that stays refused after its cause was mended."""
    callers, loops = await start(fleet)
    fleet.world.poison_parts[POISON_PART] = nothing
    sender = PromptSender(fleet, "bad", (POISON_PART,))
    await crash_with_part(fleet, sender, 3)
    await check_refused_everywhere(fleet, sender)
    del fleet.world.poison_parts[POISON_PART]
    listed = await quarantines(fleet)
    assert [q["print"] for q in listed] == ["part-" + POISON_PART], listed
    assert listed[0]["crashes"] == 3, listed
    status, _ = await fleet.operators.operate(
        "DELETE", "/v1/quarantines/part-" + POISON_PART)
    assert status == 200, "lifting answers %d" % status

    async def served():
        del sender.answers[:]
        await asyncio.gather(*[sender.send_once(e) for e in fleet.entries])
        return all(a[2] == 200 for a in sender.answers)

    await until(served, RECOVERY_S, "it isn't served again")
    assert not await quarantines(fleet)
    await stop(callers, loops)


async def quarantines(fleet):
    status, body = await fleet.operators.operate("GET", "/v1/status")
    assert status == 200, "the status answers %d" % status
    return json.loads(body)["quarantined"]


SCENARIOS = [poison_part_at_the_first_place_is_stopped,
             poison_part_in_the_middle_is_stopped,
             poison_part_before_the_last_is_stopped,
             quarantined_part_outlasts_all_processes,
             operator_lifts_a_quarantined_part]
