"""Scenario: failures that one entry sees are shared with the others."""
import asyncio
import re

from fleet_logs import log_search
from soak import RECOVERY_S, await_first_change, until
from soak_http import http
from standin import plain

CALLS = 12           # calls at the other entry that must avoid the server


def fail_all(web):
    """Makes the server answer each call with 500, but health checks with
    200, and counts the calls in web.calls.
    """
    inner, web.calls = web.answer, 0

    async def answer(line, headers, body, reader, writer):
        if line[1] == "/healthz":
            await inner(line, headers, body, reader, writer)
            return
        web.calls += 1
        writer.write(plain(500, X_Request_Id=headers["x-request-id"],
                           X_Signature="sig"))

    web.answer = answer


async def call_once(fleet, entry, n):
    rid = "%s-%d" % (entry, n)
    fleet.world.sent_to[rid] = entry
    status, _, _ = await http(fleet.entries[entry], "POST", "/once/x",
                              rid.encode(), {"X-Request-Id": rid,
                                             "X-Deadline-Ms": 3000})
    return status


async def failures_are_shared(fleet):
    """Guards against calls to a failing server from entries that haven't seen
    it fail.

    With a hundred entries, each calls a server too rarely to detect its
    failures alone. Here calls of one entry fail, and then calls arrive at
    another entry.
    """
    await await_first_change(fleet.operators)
    failing_entry, other = sorted(fleet.entries)[:2]

    async def served():
        statuses = [await call_once(fleet, other, i) for i in range(4)]
        return all(s == 200 for s in statuses)

    await until(served, RECOVERY_S, "plain calls aren't served")
    # The server that calls go to while both are idle.
    last = fleet.world.runs["%s-3" % other][-1].server
    bad = next(w for w in fleet.webs if w.name == last)
    fail_all(bad)

    async def failures_seen():
        # Calls are concurrent, since the entry calls another server after the
        # first failure.
        await asyncio.gather(*[
            call_once(fleet, failing_entry, bad.calls * 10 + i)
            for i in range(6)])
        return bad.calls >= 3

    await until(failures_seen, RECOVERY_S, "the server's failures aren't seen")
    # Logged in steps of 100, so a rate of 300 may have no line of its own.
    fails = re.compile(r"event=endpoint_fails addr=%s .* failing=[2-9]\d\d " %
                       re.escape(bad.listed))

    async def reported():
        return log_search(fleet, other, fails)

    await until(reported, RECOVERY_S,
                "the failures aren't reported to the other entry")
    before = bad.calls
    statuses = [await call_once(fleet, other, 100 + i) for i in range(CALLS)]
    assert bad.calls == before, "%d of %d calls went there: %s" % (
        bad.calls - before, CALLS, statuses)


SCENARIOS = [failures_are_shared]
