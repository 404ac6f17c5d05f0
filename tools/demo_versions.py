"""The demo's third part: streams while endpoints of two versions serve.

An entry is killed meanwhile, and callers resume their streams at the others.
"""
import asyncio
import signal

# Importing demo_signals puts the tests' stand-ins on the module path.
from demo_signals import SEED, run
from soak_operators import Operators
from soak_versions import mixed_version_streams
from versions import begin, end_all, two_versions

STREAMS = 8


async def play(fleet):
    """Play the part on a fleet; return the number of failed steps."""
    fleet.operators = Operators(fleet, SEED)
    await two_versions(fleet)
    callers = await begin(fleet, "demo", ["entry-0"], STREAMS)
    await fleet.procs["entry-0"].end(signal.SIGKILL)
    await end_all(callers)
    print("\n== an entry is killed under %d streams of two versions" % STREAMS)
    for t in callers:
        wrote = fleet.world.streams.get(t.first, [])
        print("   %s: %d of %d events, from %s" % (
            t.name, t.events, t.total,
            ", ".join(sorted({"%s at %s" % (s, v) for _, s, v, _ in wrote}))))
    whole, bad = (sum(t.whole for t in callers),
                  mixed_version_streams(fleet.world))
    print("   %d whole, %d of two versions" % (whole, len(bad)))
    return (whole < STREAMS) + bool(bad)


def show_versions():
    print("\nstreams that go on at the version that began them", flush=True)
    return asyncio.run(run(play))
