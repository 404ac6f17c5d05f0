"""Requests whose prompts share parts, one of which may be poison: it crashes
each endpoint that begins to write an answer on it. No two requests are alike.
"""
import asyncio
import time
import zlib

from soak_customers import CUSTOMERS, bearer
from soak_http import ConnectionClosed, http
from soak_poison import INTERVAL_S

# Crashes by a part, the time from the last of them until all entries have to
# refuse it, and the requests that may reach endpoints after that.
PART_CRASH_LIMIT = 5
PART_KNOWN_S = 3.0
MAX_LATER_REQUESTS = 3


def nothing(head, event):
    return b""


def head_only(head, event):
    return head


def head_and_event(head, event):
    return head + event


WRITTEN_BEFORE_CRASH = (nothing, head_only, head_and_event)


class PromptSender:
    """Sends requests to the entries in turn whose prompts consist of the given
    parts and a last one that is new each time.
    """

    def __init__(self, fleet, name, parts, model="m0", path="/chat/",
                 interval_s=INTERVAL_S, events=5):
        self.f, self.name, self.parts = fleet, name, parts
        self.model, self.path = model, path
        self.interval_s, self.events = interval_s, events
        self.n = 0           # requests sent
        self.answers = []    # (time sent, entry, status, headers, body)
        self.on = True

    def headers(self, rid):
        ids = [*self.parts, "%08x" % zlib.crc32(rid.encode())]
        return {"X-Request-Id": rid, "X-Deadline-Ms": 4000,
                "X-Model": self.model, "X-Events": self.events,
                "X-Token-Usage": "400,%d" % self.events,
                "X-Prefix-Hash": ",".join("%s:100" % i for i in ids),
                **bearer(CUSTOMERS[0])}

    async def send_once(self, entry):
        self.n += 1
        rid = "%s-%d" % (self.name, self.n)
        self.f.world.sent_to[rid] = entry
        sent = time.monotonic()
        try:
            status, fields, body = await asyncio.wait_for(http(
                self.f.entries[entry], "POST", self.path + rid, rid.encode(),
                self.headers(rid)), 5.0)
        except (OSError, EOFError, ConnectionClosed, asyncio.TimeoutError):
            status, fields, body = 0, {}, b""
        self.answers.append((sent, entry, status, fields, body))

    async def loop(self):
        tasks = []
        while self.on:
            entry = sorted(self.f.entries)[self.n % len(self.f.entries)]
            tasks.append(asyncio.ensure_future(self.send_once(entry)))
            await asyncio.sleep(self.interval_s)
        await asyncio.gather(*tasks)

    def served_share(self, start, end):
        """Returns the share of requests sent in a time that were answered."""
        sent = [a for a in self.answers if start <= a[0] < end]
        return sum(a[2] == 200 for a in sent) / max(len(sent), 1)


def crash_times(fleet, part):
    return fleet.world.crashes_by_body.get(part, [])


def reached_after(fleet, part, t):
    """Returns the requests with a poison part that reached endpoints after
    t.
    """
    return [rid for at, rid in fleet.world.poison.get(part, []) if at > t]
