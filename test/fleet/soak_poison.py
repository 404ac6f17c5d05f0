"""Poison requests, which crash each endpoint that runs them."""
import asyncio
import time

from soak_customers import CUSTOMERS, bearer
from soak_http import ConnectionClosed, http

# Endpoints that a request may crash before all entries have to refuse it.
CRASH_LIMIT = 3
POISON_KNOWN_S = 3.0  # from the last of these crashes until all entries refuse
MAX_LATER_RUNS = 3   # times that the request may reach an endpoint after that
INTERVAL_S = 0.25    # between two requests of a sender


class PoisonSender:
    """Sends one poison request periodically, to the entries in turn.

    Each of its requests has a new id, and the same path and body.
    """

    def __init__(self, fleet, name, path="/chat/", interval_s=INTERVAL_S,
                 **headers):
        self.f = fleet
        self.interval_s = interval_s
        self.path = path + name
        self.body = b"poison " + name.encode()
        self.headers = headers
        self.n = 0           # requests sent
        self.answers = []    # (time, entry, status, headers)
        self.on = True

    async def send_once(self, entry):
        self.n += 1
        rid = "%s-%d" % (self.path.strip("/").replace("/", "-"), self.n)
        self.f.world.sent_to[rid] = entry
        headers = dict(self.headers, X_Request_Id=rid, X_Deadline_Ms=4000,
                       **bearer(CUSTOMERS[0]))
        headers = {k.replace("_", "-"): v for k, v in headers.items()}
        try:
            status, fields, _ = await asyncio.wait_for(http(
                self.f.entries[entry], "POST", self.path, self.body, headers),
                5.0)
        except (OSError, EOFError, ConnectionClosed, asyncio.TimeoutError):
            status, fields = 0, {}
        self.answers.append((time.monotonic(), entry, status, fields))

    async def loop(self):
        tasks = []
        while self.on:
            entry = sorted(self.f.entries)[self.n % len(self.f.entries)]
            tasks.append(asyncio.ensure_future(self.send_once(entry)))
            await asyncio.sleep(self.interval_s)
        await asyncio.gather(*tasks)

    def crash_times(self):
        """Returns the times at which the request has crashed an endpoint."""
        return self.f.world.crashes_by_body.get(self.body, [])

    def ran_after(self, t):
        """Returns the ids of its requests that reached an endpoint after t."""
        return [rid for at, rid in self.f.world.poison.get(self.body, [])
                if at > t]
