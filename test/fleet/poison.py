"""Scenarios of requests that end each endpoint that runs them."""
import asyncio
import time

from soak import FILL_S, RECOVERY_S, first_change, until
from soak_callers import Callers
from soak_http import Ended, http

# Endpoints that a request may end before it has to be stopped everywhere.
ENDS = 3
CONTACT_S = 3.0      # after the last of them it is known everywhere
LATER = 3            # how often it may reach an endpoint after that
LOOK_S = 4.0         # so long that is looked at
EVERY_S = 0.25


class Sender:
    """Sends one request again and again, to each entry in turn, under new
    ids; body and path stay.
    """

    def __init__(self, fleet, name, path="/chat/", **headers):
        self.f = fleet
        self.path = path + name
        self.body = b"poison " + name.encode()
        self.headers = headers
        self.n = 0
        self.answers = []    # (time, entry, status, headers)
        self.on = True

    async def one(self, entry):
        self.n += 1
        rid = "%s-%d" % (self.path.strip("/").replace("/", "-"), self.n)
        self.f.world.sent_to[rid] = entry
        headers = dict(self.headers, X_Request_Id=rid, X_Deadline_Ms=4000)
        headers = {k.replace("_", "-"): v for k, v in headers.items()}
        try:
            status, fields, _ = await asyncio.wait_for(http(
                self.f.entries[entry], "POST", self.path, self.body, headers),
                5.0)
        except (OSError, EOFError, Ended, asyncio.TimeoutError):
            status, fields = 0, {}
        self.answers.append((time.monotonic(), entry, status, fields))

    async def loop(self):
        tasks = []
        while self.on:
            entry = sorted(self.f.entries)[self.n % len(self.f.entries)]
            tasks.append(asyncio.ensure_future(self.one(entry)))
            await asyncio.sleep(EVERY_S)
        await asyncio.gather(*tasks)

    def ends(self):
        return self.f.world.ended_by.get(self.body, [])

    def ran_after(self, t):
        return [rid for at, rid in self.f.world.poison.get(self.body, [])
                if at > t]


def check_stopped(sender):
    third = sender.ends()[ENDS - 1]
    later = sender.ran_after(third + CONTACT_S)
    assert len(later) <= LATER, \
        "it reached endpoints %d times more, %d ended in all" % (
            len(later), len(sender.ends()))


async def poison_request_stops_reaching_endpoints(fleet):
    """Symptom: one endpoint after the other ends, and each takes with it the
    answers of all who were beside. Sequence: a request that ends whatever
    runs it comes again and again, under new ids, at any entry; each endpoint
    is back after a while. Cause: each entry takes each for a new request, and
    no process adds up what the others have seen.
    """
    await first_change(fleet.operators)
    callers = Callers(fleet, longest=20)
    sender = Sender(fleet, "p", X_Model="m0", X_Events=50)

    async def served():
        return callers.answered.get("chat", 0) > 20

    async def third_end():
        return len(sender.ends()) >= ENDS

    loops = [asyncio.ensure_future(callers.loop(i)) for i in range(8)]
    await until(served, FILL_S + RECOVERY_S, "chat isn't served")
    loops.append(asyncio.ensure_future(sender.loop()))
    await until(third_end, 2 * RECOVERY_S, "it didn't end three endpoints")
    await asyncio.sleep(CONTACT_S + LOOK_S)
    check_stopped(sender)
    callers.forget()
    await until(served, RECOVERY_S, "chat isn't served beside it")
    callers.on = sender.on = False
    await asyncio.gather(*loops)
    check_stopped(sender)
    told = [a for a in sender.answers if a[0] > sender.ends()[2] + CONTACT_S]
    bad = [a for a in told if a[2] != 503 or float(
        a[3].get("retry-after", 0)) <= 0]
    assert len(bad) <= LATER, "not refused with a time: %s" % bad[:3]
    callers.check()
    fleet.check_processes()


SCENARIOS = [poison_request_stops_reaching_endpoints]
