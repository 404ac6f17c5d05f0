"""The demo's fourth part: balancing over a fast and a slow engine, and callers
of different priority at a full engine, with the stand-ins of the tests.
"""
import asyncio
import json
import time
from collections import namedtuple

# Importing demo_signals puts the tests' stand-ins on the module path.
from demo_signals import SEED, run
from soak import RECOVERY_S, until
from soak_fleet import engine_parts
from soak_http import connect
from soak_operators import Operators, route
from standin import STEP

MODELS = ("m0", "m1")
SLOTS = 8            # of an engine
GOAL_MS = 400        # bound on the time to a chat's first event
# Name, priority, goal.
ROUTES = (("urgent", 0, 10000), ("chat", 1, GOAL_MS), ("patient", 2, 10000))
CHATS_PER_S, CHATS_S = 40, 2.5
FAST_S, SLOW_S, STALLED_S = 0.05, 0.25, 0.8     # time to first event
CRASH_KNOWN_S = 1         # time until entries know of a crashed engine
# Share of chats at a stalled engine: those before its ejection, and probes.
STALL_SHARE = 0.1
LATE_TOLERATED = 2            # late chats allowed on a busy machine
WAITING = 24         # waiting callers of each priority
LOW_PRIORITY_TURN = 4        # one slot in this many goes to the low priority


def routing():
    """Two models, and routes that differ in priority."""
    routes = [route(name, "/%s/" % name, "stream", "lm", 20, attempts=1,
                    priority=priority, goalMs=goal_ms)
              for name, priority, goal_ms in ROUTES]
    engine = engine_parts(1)
    engine["models"] = [m for m in engine["models"] if m["name"] in MODELS]
    return {"version": 1, "routes": routes,
            "services": [{"name": "web"}, {"name": "lm", "engine": engine}]}


# One stream, as seen by its caller.
Call = namedtuple("Call", "rid kind began first_ms whole")


async def ask(addr, rid, kind, model, events):
    start = time.monotonic()
    c = await connect(addr)
    await c.send("POST", "/%s/x" % kind, rid.encode(), {
        "X-Request-Id": rid, "X-Model": model, "X-Events": events,
        "X-Deadline-Ms": 15000})
    status, fields = await c.head()
    began = time.monotonic()
    body = b"".join([part async for part in c.parts(fields)])
    c.close()
    return Call(rid, kind, began, (began - start) * 1000,
                status == 200 and body.count(b"\n\n") == events)


class Load:
    """Sends chats to an entry and evaluates the answers."""

    def __init__(self, fleet):
        self.f = fleet
        self.fast, self.slow = fleet.engines
        self.n = self.bad = 0

    def send(self, kind, model, events=1):
        self.n += 1
        return asyncio.ensure_future(ask(
            self.f.entries["entry-0"], "load-%d" % self.n, kind, model,
            events))

    async def chats(self, seconds):
        calls = []
        for i in range(int(seconds * CHATS_PER_S)):
            calls.append(self.send("chat", MODELS[i % len(MODELS)]))
            await asyncio.sleep(1 / CHATS_PER_S)
        return await asyncio.gather(*calls)

    def show(self, title, lines, ok):
        print("\n== " + "\n   ".join(
            [title] + lines + ([] if ok else ["^ not as promised"])))
        self.bad += not ok

    async def slow_engine(self, title, slow_s, share, late_max):
        """Chats at two engines; the slow one must get less than this share."""
        self.fast.step, self.slow.step = FAST_S, slow_s
        calls = await self.chats(CHATS_S)
        late = sum(c.first_ms > GOAL_MS for c in calls)
        whole = sum(c.whole for c in calls)
        ran = [self.f.world.runs[c.rid][0].server for c in calls if c.whole]
        fast, slow = [ran.count(e.name) for e in (self.fast, self.slow)]
        self.show(title, [
            "%d of %d answered, %d of them after more than %d ms" % (
                whole, len(calls), late, GOAL_MS),
            "the fast engine got %d, the slow one %d" % (fast, slow)],
            whole == len(calls) and slow < whole * share and late <= late_max)

    async def full_engine(self):
        """Callers of low priority wait first, then as many urgent ones."""
        self.fast.step = STEP
        await self.slow.crash()
        await asyncio.sleep(CRASH_KNOWN_S)
        held = [self.send("urgent", "m0", 40) for _ in range(SLOTS)]
        await asyncio.sleep(0.2)
        patient = [self.send("patient", "m0", 3) for _ in range(WAITING)]
        await asyncio.sleep(0.1)
        urgent = [self.send("urgent", "m1", 3) for _ in range(WAITING)]
        await asyncio.gather(*held)
        kinds = [await asyncio.gather(*k) for k in (patient, urgent)]
        order = sorted(sum(kinds, []), key=lambda c: c.began)
        # Patient callers served before the last urgent one was.
        both = max(i for i, c in enumerate(order) if c.kind == "urgent") + 1
        early = both - WAITING
        lines = ["%d of %d %s callers answered, after %.0f ms in the mean" % (
            sum(c.whole for c in k), WAITING, k[0].kind,
            sum(c.first_ms for c in k) / WAITING) for k in kinds]
        lines.append("while both waited, %d patient ones got a turn" % early)
        # Answers that begin at the same time have no defined order.
        self.show("%d patient callers wait for a full engine, then as many "
                  "urgent ones for its other model" % WAITING, lines,
                  all(c.whole for c in order) and
                  abs(early - WAITING // (LOW_PRIORITY_TURN - 1)) <=
                  SLOTS // 2)


async def play(fleet):
    operators, sent = Operators(fleet, SEED), Load(fleet)
    for e in fleet.engines:
        e.held = {m: set() for m in MODELS}
    body = json.dumps(routing()).encode()

    async def served():
        status, _ = await operators.operate(
            "POST", "/sapphireshift/Config.Put", body)
        return status == 200 and all(c.whole for c in await sent.chats(0.2))

    await until(served, RECOVERY_S, "the models aren't served")
    await sent.slow_engine("an engine five times as slow as the one beside it",
                           SLOW_S, 1 / 6, LATE_TOLERATED)
    await sent.slow_engine("its answers begin after %.1f s" % STALLED_S,
                           STALLED_S, STALL_SHARE,
                           STALL_SHARE * CHATS_S * CHATS_PER_S)
    await sent.full_engine()
    return sent.bad


def show_load():
    print("\nengines that differ, callers who compete", flush=True)
    return asyncio.run(run(play, entries=1, engines=2))
