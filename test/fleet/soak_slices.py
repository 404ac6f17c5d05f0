"""Fault: control VMs that get little of a processor."""
import asyncio
import contextlib
import random
import signal
import time


async def run_in_slices(p, phase_s, period_s, stopped_s):
    """Stops a process in each period, until it is cancelled. Its phase holds:
    a late wake-up doesn't shift the next one.
    """
    start = time.monotonic() + phase_s

    async def sleep_until(t):
        await asyncio.sleep(max(0.0, t - time.monotonic()))

    try:
        while True:
            await sleep_until(start)
            p.send(signal.SIGSTOP)
            await sleep_until(start + stopped_s)
            p.send(signal.SIGCONT)
            start += period_s
    finally:
        p.send(signal.SIGCONT)


@contextlib.asynccontextmanager
async def in_slices(procs, rng, period_s, stopped_s):
    """Gives each process a part of the time, with drawn phases."""
    tasks = [asyncio.ensure_future(run_in_slices(
        p, rng.uniform(0, period_s), period_s, stopped_s)) for p in procs]
    try:
        yield
    finally:
        for t in tasks:
            t.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def slow_control_vms(faults, seconds):
    """Gives all control VMs little of a processor for some seconds, in a third
    of the runs, and mostly kills them meanwhile.

    A separate generator keeps the schedules of older seeds unchanged.
    """
    rng = random.Random("slow VMs %d" % faults.seed)
    if not faults.f.n_relays or rng.random() > 1 / 3:
        return
    await asyncio.sleep(rng.uniform(0, seconds / 2))
    period_s, share = rng.uniform(0.2, 0.7), rng.uniform(0.5, 0.9)
    faults.log.append("%s control VMs stopped for %.2f of %.2f s" % (
        faults.journal.at(time.monotonic()), share * period_s, period_s))
    procs = faults.f.of_role("control")
    with contextlib.ExitStack() as spans:
        for p in procs:
            spans.enter_context(faults.journal.span(p.name, "freeze"))
        async with in_slices(procs, rng, period_s, share * period_s):
            await asyncio.sleep(rng.uniform(0, 1))
            if rng.random() < 0.7:
                await faults.run_for_each(faults.kill, procs, rng)
            await asyncio.sleep(rng.uniform(1, seconds / 2))
