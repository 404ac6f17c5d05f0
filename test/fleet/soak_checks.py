"""Checks of a run from what callers and endpoints saw.

Each looks at one promise and adds a text to the run's faults where it is
broken. What a fault of the soak explains is excused: only one without a
plan, on the process or endpoint concerned and at that time.
"""
import bisect

from soak_callers import STREAMS, UNSAFE
from soak_faults import LEAVING_S
from soak_fleet import GRACE_MS, RETRY_RATIO, RETRY_SLACK
from soak_journal import most_in_window
from soak_poison import CONTACT_S, ENDS, LATER
from soak_uneven import slow_preferred
from soak_versions import too_few_resumed, mixed
from soak_words import over_leaving, over_limit, over_rest

# A fault still shows so long after its end: what it broke has to be found.
FAULT_TAIL_S = 2.5
# Of a request's time, kept by entries to say that it is over.
TIMEOUT_MARGIN_S = 0.15
# Kept by entries at the end of their grace time to write what is left.
STOP_MARGIN_S = 0.25
# A request that crosses the close of its connection finds it closed so soon.
CLOSE_RACE_S = 0.5
# Work of callers who left ends so soon, and none begins later.
CANCEL_BOUND_S = 0.7
# What has left the list's ready ones: the list is read, then told on.
LIST_DELAY_S = 0.3
WINDOW_S = 10.0      # of repeats
LOADS_WINDOW_S = 5.0
LOADS_BURST = 3


def within(times, start):
    """How many of the sorted times lie in the window of repeats from there."""
    return (bisect.bisect_right(times, start + WINDOW_S) -
            bisect.bisect_left(times, start))


class Checks:
    """All checks; each method is one."""

    def __init__(self, fleet, callers):
        self.f, self.callers = fleet, callers
        self.world, self.journal = fleet.world, fleet.journal

    def fail(self, text):
        self.world.faults.append(text)

    def harmed(self, name, since, until, ignoring=()):
        return self.journal.harmed(name, since - FAULT_TAIL_S,
                                   until + self.world.lag, ignoring)

    def runs(self, r):
        return self.world.runs.get(r.rid, [])

    def path_harmed(self, r):
        """A fault on the entry, or on an endpoint that worked on it."""
        return self.harmed(r.entry, r.sent, r.ended) or any(
            self.harmed(run.server, r.sent, r.ended, ignoring=("slower",))
            for run in self.runs(r))

    def candidate_harmed(self, r):
        """A fault on any endpoint that it may have been sent to."""
        service = "lm" if r.kind in STREAMS else "web"
        return any(self.harmed(s.name, r.sent, r.ended, ignoring=("slower",))
                   for s in self.f.servers if s.service == service)

    def outlasted_stop(self, r):
        """Under way at a planned stop, and still at work when its time was
        over. What the entry has begun after the signal it should not have,
        but where the endpoint became slower since.
        """
        for planned_stop in self.journal.stops(r.entry, r.sent, r.ended):
            last = planned_stop.start + GRACE_MS / 1000 - STOP_MARGIN_S
            if r.ended < last:
                continue
            for run in self.runs(r):
                slower = self.journal.harmed(run.server, run.start, r.ended)
                if run.start <= planned_stop.start + self.world.lag or slower:
                    return True
        return False

    def raced_close(self, r):
        """Nobody read it: its connection was being closed."""
        stopping = self.journal.touched(r.entry, r.sent - FAULT_TAIL_S, r.ended)
        return not self.runs(r) and not r.answer_began and \
            r.ended - r.sent < CLOSE_RACE_S and (r.reused or stopping)

    def describe(self, r):
        at = self.journal.at
        runs = ["%s from %s to %s" % (
            run.server, at(run.start), at(run.end) if run.end else "-")
            for run in self.runs(r)]
        stops = ["stop at %s" % at(s.start) for s in self.journal.stops(
            r.entry, r.sent, r.ended)]
        return "%s (%s, %d events) at %s, sent %s, ended %s; %s; ran: %s" % (
            r.rid, r.kind, r.n_events, r.entry, at(r.sent), at(r.ended),
            ", ".join(stops) or "no stop", ", ".join(runs) or "nowhere")

    def cut_answers(self):
        """Each request has an answer or a refusal."""
        for r in self.callers.requests:
            if r.outcome != "cut" or self.path_harmed(r):
                continue
            timed_out = r.ended - r.sent >= r.timeout_s - TIMEOUT_MARGIN_S
            if timed_out or self.outlasted_stop(r) or self.raced_close(r):
                continue
            self.fail("cut: " + self.describe(r))

    def bad_gateways(self):
        """A 502 says that nobody knows what became of the request. Where it
        ran nowhere, it was lost on the way to an endpoint.
        """
        for r in self.callers.requests:
            if r.status != 502 or self.path_harmed(r) or \
                    self.outlasted_stop(r):
                continue
            if self.runs(r) or not self.candidate_harmed(r):
                self.fail("502 without a fault: " + self.describe(r))

    def timeouts(self):
        """Each waiting request is answered in time."""
        for r in self.callers.requests:
            if r.outcome == "late" and not self.path_harmed(r):
                self.fail("no answer in time: " + self.describe(r))

    def duplicate_runs(self):
        """What can't be repeated runs at most once."""
        for r in self.callers.requests:
            n = len(self.runs(r))
            if n > 1 and r.kind in UNSAFE:
                self.fail("ran %d times: %s" % (n, self.describe(r)))

    def unreachable(self):
        """An entry that isn't harmed takes callers until its stop closes."""
        for r in self.callers.requests:
            if r.outcome == "unreachable" and not self.journal.touched(
                    r.entry, r.sent - FAULT_TAIL_S, r.ended):
                self.fail("takes no callers: " + self.describe(r))

    def cancelled(self):
        """Work of a caller who left is stopped, and none begins."""
        bound = CANCEL_BOUND_S + self.world.lag
        for r in self.callers.requests:
            if r.outcome != "left" or self.harmed(r.entry, r.sent, r.ended):
                continue
            for run in self.runs(r):
                until = run.end or self.world.over
                if until > r.ended + bound and not self.harmed(
                        run.server, r.sent, until):
                    self.fail("worked on %.2f s after its caller left: %s" % (
                        until - r.ended, self.describe(r)))

    def draining(self):
        """A leaving endpoint gets no new work after its bound."""
        bound = LEAVING_S + LIST_DELAY_S + self.world.lag
        for rid, runs in self.world.runs.items():
            entry = self.world.sent_to.get(rid, "")
            for run in runs:
                since = run.start - run.left_for
                if run.left_for > bound and not self.harmed(
                        entry, since, run.start) and not self.harmed(
                        run.server, since, run.start):
                    self.fail("%s got %s from %s at %s, %.2f s after it began "
                              "to leave" % (run.server, rid, entry,
                                            self.journal.at(run.start),
                                            run.left_for))

    def unsent(self):
        """Endpoints run only what callers have sent."""
        for rid in self.world.runs.keys() - self.world.sent_to.keys():
            self.fail("nobody sent %r, and it ran" % rid)

    def retries(self):
        """Repeats over all entries stay in their share, in each window."""
        for service, arrived in self.world.arrivals.items():
            known, firsts_at, retries_at = set(), [], []
            for t, rid in arrived:
                (retries_at if rid in known else firsts_at).append(t)
                known.add(rid)
            for start in retries_at:
                n = within(retries_at, start)
                near = max(within(firsts_at, start - back) for back in (
                    0, WINDOW_S / 2, WINDOW_S))
                if n > RETRY_RATIO * near + RETRY_SLACK:
                    self.fail("%s: %d repeats in a window with %d requests"
                              % (service, n, near))
                    break

    def store_loads(self):
        """Loads from the store keep to the rate that the routing allows,
        but while the control VMs are harmed.
        """
        controls = [p.name for p in self.f.of_role("control")]
        calm = [t for t in self.world.loads if not any(
            self.journal.touched(c, t - LOADS_WINDOW_S, t) for c in controls)]
        n, start = most_in_window(calm, LOADS_WINDOW_S)
        allowed = self.f.loads_per_s() * LOADS_WINDOW_S + LOADS_BURST
        if n > allowed:
            self.fail("%d loads from the store within %.0f s from %s, %.0f "
                      "are allowed" % (n, LOADS_WINDOW_S,
                                       self.journal.at(start), allowed))

    def poisoned(self):
        """What has ended three endpoints reaches few more, once entries that
        aren't harmed have had the time to hear of it.
        """
        controls = [p.name for p in self.f.of_role("control")]
        for body, ends in self.world.ended_by.items():
            if len(ends) < ENDS:
                continue
            late = [(t, rid) for t, rid in self.world.poison[body]
                    if t > ends[ENDS - 1] + CONTACT_S]
            calm = [rid for t, rid in late if not any(
                self.journal.touched(name, t - CONTACT_S - FAULT_TAIL_S, t)
                for name in [self.world.sent_to[rid], *controls])]
            if len(calm) > LATER:
                self.fail("%r ended %d endpoints and was sent on %d times "
                          "more" % (body, len(ends), len(calm)))

    def signals(self):
        """What endpoints say of themselves in their answers is heeded."""
        for check in (over_limit, over_rest, over_leaving):
            for text in check(self.f):
                self.fail(text)

    def versions(self):
        """Streams go on at the version that began them, and mostly do."""
        for text in mixed(self.world) + too_few_resumed(self.f):
            self.fail(text)

    def refusals(self):
        """Each refusal for load carries a time to return."""
        for r in self.callers.requests:
            if r.outcome == "answered" and r.status in (429, 503) and \
                    not float(r.retry_after or 0) > 0:
                self.fail("%d without a time to return: %s" % (
                    r.status, self.describe(r)))

    def slow_engines(self):
        """Slow engines get fewer calls than fast ones beside them."""
        for text in slow_preferred(self.f):
            self.fail(text)

    def all(self):
        self.refusals()
        self.slow_engines()
        self.signals()
        self.versions()
        self.callers.check()
        self.unreachable()
        self.cancelled()
        self.draining()
        self.unsent()
        self.retries()
        self.store_loads()
        self.duplicate_runs()
        self.cut_answers()
        self.bad_gateways()
        self.timeouts()
        self.poisoned()
