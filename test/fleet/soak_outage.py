"""Fault: all endpoints of a service lose their answers; entries are killed."""
import asyncio
import contextlib
import random
import time

ALL_ANSWERS = 10 ** 9  # more than an outage has
MAX_OUTAGE_S = 8.0


async def outage(faults, seconds):
    """Makes all endpoints of a service lose their answers for some seconds, in
    half of the runs, and kills all entries one to three times meanwhile.

    A separate generator keeps the schedules of older seeds unchanged.
    """
    rng = random.Random("outage %d" % faults.seed)
    if not faults.f.n_relays or rng.random() < 0.5:
        return
    await asyncio.sleep(rng.uniform(0, seconds / 4))
    service = rng.choice(["lm", "web"])
    servers = [s for s in faults.f.servers if s.service == service]
    faults.log.append("%s outage of %s" % (
        faults.journal.at(time.monotonic()), service))
    end = time.monotonic() + min(MAX_OUTAGE_S, seconds)
    with contextlib.ExitStack() as spans:
        for s in servers:
            spans.enter_context(faults.journal.span(s.name, "outage"))
            s.answers_to_lose = ALL_ANSWERS
        for _ in range(rng.randrange(1, 4)):
            await asyncio.sleep(rng.uniform(0.5, 1.5))
            await faults.run_for_each(
                faults.kill, faults.f.of_role("entry"), rng)
        await asyncio.sleep(max(end - time.monotonic(), 0))
        for s in servers:
            s.answers_to_lose = 0
