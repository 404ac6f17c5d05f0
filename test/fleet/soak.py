"""Randomized soak test of a fleet: real processes on one machine, injected
faults, and checks of what callers and endpoints observed.

    soak.py --seeds 1-50 [--seconds 15] [--size 24]

The seed determines the schedule of faults but not the timing of the processes,
so a seed that has failed is kept in REGRESSIONS and runs every time.
"""
import argparse
import asyncio
import os
import random
import shutil
import sys
import time

from soak_callers import KINDS, Callers
from soak_checks import Checks
from soak_faults import FAMILIES, Faults
from soak_fleet import RELAYS, ROOT, Fleet
from soak_customer_checks import CustomerChecks
from soak_customers import routing_customers
from soak_operators import Operators
from soak_surge import surge
from soak_slow_engines import call_one_model, draw_first_event_delays
from soak_versions import RESUMING_CALLERS, draw_versions, resume_streams

# Seeds that have failed: (seconds of faults, size), each with the cause of the
# failure. They run with the options that they failed with, without relays.
REGRESSIONS = {
    # A wiped control VM sent its join request only to the addresses in its
    # settings; the leader was not among them, and followers did not name it.
    # The scenario wiped_vm_finds_a_leader_it_doesnt_know covers that sequence
    # alone. In this run a planned stop cut a stream on the one slow engine of
    # four: the entry had no measurements of it and assumed the others' speed.
    22: (6.0, 7),
    # During a planned stop, an entry started streams by a time per token that
    # holds for engines of another deployment; on slower engines it cut them
    # before their end.
    403: (8.0, 24),
    # An entry estimated a stream's duration by model, over all engines. It had
    # few measurements of one engine ten times slower than the others, and
    # during its planned stop started streams there that its exit cut.
    416: (8.0, 24),
    # A process a few seconds old took lower bounds for measurements: the
    # events so far of a running stream for its length, and the time until a
    # caller disconnected for the time that answers take. During its planned
    # stop it started long streams and cut them.
    455: (8.0, 200),
}
RECOVERY_S = 12.0    # from the last fault until all kinds are served again
# Time for loading eight models from the store, one every 1.3 s. Before that,
# engines may hold few of the models in use.
MODELS_LOADED_S = 11.0
SIZE = 24            # default number of entries and agents
LAG_SAMPLE_S = 0.05  # interval of the lag measurement


async def until(what, seconds, why):
    """Waits for a condition; raises TimeoutError(why) after the timeout."""
    end = time.monotonic() + seconds
    while not await what():
        if time.monotonic() > end:
            raise TimeoutError(why)
        await asyncio.sleep(0.05)


async def watch_lag(world):
    """Records the longest scheduling delay of the soak's own event loop.

    The soak is a single process: when it gets no CPU time it observes events
    late, so the bounds of its checks are extended by this lag.
    """
    while True:
        before = time.monotonic()
        await asyncio.sleep(LAG_SAMPLE_S)
        world.lag = max(world.lag, time.monotonic() - before - LAG_SAMPLE_S)


async def await_first_change(operators):
    """Sends changes until one is acknowledged, so that a routing exists."""
    async def accepted():
        return await operators.put() == 200

    await until(accepted, RECOVERY_S + operators.world.lag,
                "no change was accepted")


async def run_with_faults(fleet, callers, operators, faults, seed, seconds):
    async def kinds_served():
        return all(callers.answered.get(k, 0) > 2 for k in KINDS)

    async def entries_serve():
        missing = [e for e in fleet.entries if not callers.by_entry.get(e)]
        await asyncio.gather(*[callers.send_single(e) for e in missing])
        return not missing

    async def acked_is_in_force():
        got = await asyncio.gather(*[
            operators.probe_version(e, operators.acked)
            for e in fleet.entries])
        return all(got)

    async def acked_is_read():
        return await operators.get() >= operators.acked

    await await_first_change(operators)
    tasks = [asyncio.ensure_future(callers.loop(seed * 1000 + i))
             for i in range(6 + 2 * len(fleet.entries))]
    tasks += [asyncio.ensure_future(
        resume_streams(fleet, callers, seed * 1000 + i))
        for i in range(RESUMING_CALLERS if fleet.n_relays else 0)]
    try:
        await until(kinds_served, RECOVERY_S, "not all kinds are served")
        tasks += [asyncio.ensure_future(loop)
                  for loop in operators.loops(callers)]
        if fleet.n_relays:
            tasks += surge(callers, seed) + call_one_model(callers, seed)
        await faults.run(seconds)
        callers.reset_counts()
        await until(kinds_served, RECOVERY_S, "not served after the faults")
        await until(entries_serve, RECOVERY_S, "an entry answers no caller")
    finally:
        callers.on = False
        await asyncio.gather(*tasks)
    await until(acked_is_read, RECOVERY_S,
                "the acknowledged routing isn't read back")
    await until(acked_is_in_force, RECOVERY_S,
                "an entry doesn't apply the acknowledged routing")


class RunResult:
    """Result of the run of one seed."""

    def __init__(self, fleet, callers, operators, faults):
        self.fleet, self.callers = fleet, callers
        self.operators, self.faults = operators, faults
        self.violations = fleet.world.violations


async def run_seed(seed, seconds, size, daemon, only=(), relays=RELAYS):
    entries = max(3, size * 2 // 5)
    fleet = Fleet(seed, daemon, entries, max(4, size - entries), relays)
    fleet.draw_speeds(random.Random(seed))
    draw_versions(fleet, seed)
    draw_first_event_delays(fleet, seed)
    callers = Callers(fleet)
    operators = Operators(fleet, seed,
                          routing_customers(surge=fleet.n_relays > 0))
    faults = Faults(fleet, seed, only)
    lag = asyncio.ensure_future(watch_lag(fleet.world))
    try:
        await fleet.start()
        await run_with_faults(fleet, callers, operators, faults, seed, seconds)
    except TimeoutError as e:
        fleet.world.violations.append(str(e))
    finally:
        fleet.check_processes()
        fleet.world.run_end = time.monotonic()
        lag.cancel()
        await fleet.stop()
    Checks(fleet, callers).all()
    CustomerChecks(fleet, callers).all()
    return RunResult(fleet, callers, operators, faults)


def report(seed, p):
    print("%s seed %d: %d processes, %d requests, %d faults, "
          "%d changes, %d ends by poison, %d of %d taken up went on, late by "
          "%.2f s at most" % (
              "FAILED" if p.violations else "ok", seed, len(p.fleet.procs),
              p.callers.n, len(p.faults.log), p.operators.acked,
              sum(map(len, p.fleet.world.crashes_by_body.values())),
              p.fleet.resume_counts[1], p.fleet.resume_counts[0],
              p.fleet.world.lag))
    for line in p.violations[:10]:
        print("    " + line)
    if p.violations:
        print("    schedule: " + "; ".join(p.faults.log))
        print("    logs: " + p.fleet.folder)
    else:
        shutil.rmtree(p.fleet.folder)
    sys.stdout.flush()


def main():
    ap = argparse.ArgumentParser(description=__doc__)
    ap.add_argument("--seeds", default="1-3", help="N or N-M")
    ap.add_argument("--seconds", type=float, default=8.0,
                    help="duration of the faults in each run")
    ap.add_argument("--size", type=int, default=SIZE,
                    help="number of entries and agents")
    ap.add_argument("--fresh", action="store_true",
                    help="skip the seeds in REGRESSIONS")
    ap.add_argument("--only", default="",
                    help="families of faults, separated by commas: " +
                    ", ".join(sorted(FAMILIES)))
    ap.add_argument("--build", default=os.path.join(ROOT, "build"))
    a = ap.parse_args()
    first, _, last = a.seeds.partition("-")
    daemon = os.path.join(a.build, "sapphireshiftd")
    runs = [] if a.fresh else [(s, *how, 0) for s, how in REGRESSIONS.items()]
    only = [name for name in a.only.split(",") if name]
    runs += [(s, a.seconds, a.size, RELAYS)
             for s in range(int(first), int(last or first) + 1)]
    failed = 0
    for seed, seconds, size, relays in runs:
        p = asyncio.run(run_seed(seed, seconds, size, daemon, only, relays))
        report(seed, p)
        failed += bool(p.violations)
    print("%d passed, %d failed" % (len(runs) - failed, failed))
    sys.exit(failed > 0)


if __name__ == "__main__":
    main()
