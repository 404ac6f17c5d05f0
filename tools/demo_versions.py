"""The demo's third part: streams while endpoints of two software versions serve.
An entry is killed in their midst, and callers take them up at the others.
"""
import asyncio
import signal

# Which makes the tests' stand-ins known.
from demo_words import SEED, run
from soak_operators import Operators
from soak_versions import mixed
from versions import begin, end_all, two_versions

STREAMS = 8


async def play(fleet):
    """The number of steps that went wrong."""
    fleet.operators = Operators(fleet, SEED)
    await two_versions(fleet)
    takers = await begin(fleet, "demo", ["entry-0"], STREAMS)
    await fleet.procs["entry-0"].end(signal.SIGKILL)
    await end_all(takers)
    print("\n== an entry is killed under %d streams of two versions" % STREAMS)
    for t in takers:
        wrote = fleet.world.streams.get(t.first, [])
        print("   %s: %d of %d events, from %s" % (
            t.name, t.events, t.total,
            ", ".join(sorted({"%s at %s" % (s, v) for _, s, v, _ in wrote}))))
    whole, bad = sum(t.whole for t in takers), mixed(fleet.world)
    print("   %d whole, %d of two versions" % (whole, len(bad)))
    return (whole < STREAMS) + bool(bad)


def versions():
    print("\nstreams that go on at the version that began them", flush=True)
    return asyncio.run(run(play))
