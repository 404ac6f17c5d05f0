"""Checks of a run against what callers and endpoints observed.

Each check covers one guarantee, and appends a message to world.violations for
each violation. A violation is excused only by an unplanned injected fault on
the process or endpoint concerned, at that time.
"""
import bisect

from soak_callers import STREAMS, UNSAFE
from soak_faults import DRAIN_BOUND_S
from soak_fleet import GRACE_MS, RETRY_RATIO, RETRY_SLACK
from soak_journal import most_in_window
from soak_parts import PART_CRASH_LIMIT
from soak_poison import CRASH_LIMIT, MAX_LATER_RUNS, POISON_KNOWN_S
from soak_slow_engines import slow_preferred
from soak_versions import mixed_version_streams, too_few_resumed
from soak_signals import backoff_violations, drain_violations, limit_violations

# Time after a fault in which its effects are still excused, as processes have
# to detect it first.
FAULT_TAIL_S = 2.5
# Part of the grace time that entries reserve to flush pending output.
STOP_MARGIN_S = 0.25
# Time within which a request that races the close of its connection fails.
CLOSE_RACE_S = 0.5
# Bound for cancelling the work of a caller that disconnected.
CANCEL_BOUND_S = 0.7
# Time until the VM list is read and a changed state is passed on to entries.
LIST_DELAY_S = 0.3
WINDOW_S = 10.0      # window of the retry budget
# Window for the rate of loads from the store, and loads allowed beyond it.
LOADS_WINDOW_S = 5.0
LOADS_BURST = 3


def within(times, start):
    """Returns how many of the sorted times are in the retry window from start.
    """
    return (bisect.bisect_right(times, start + WINDOW_S) -
            bisect.bisect_left(times, start))


class Checks:
    """All checks of a run; each method that all() calls is one."""

    def __init__(self, fleet, callers):
        self.f, self.callers = fleet, callers
        self.world, self.journal = fleet.world, fleet.journal

    def fail(self, text):
        self.world.violations.append(text)

    def harmed(self, name, since, until, ignoring=()):
        return self.journal.harmed(name, since - FAULT_TAIL_S,
                                   until + self.world.lag, ignoring)

    def runs(self, r):
        return self.world.runs.get(r.rid, [])

    def path_harmed(self, r):
        """Returns whether a fault hit r's entry, or an endpoint that ran r."""
        return self.harmed(r.entry, r.sent, r.ended) or any(
            self.harmed(run.server, r.sent, r.ended, ignoring=("slower",))
            for run in self.runs(r))

    def candidate_harmed(self, r):
        """Returns whether a fault hit any endpoint that r may have reached."""
        service = "lm" if r.kind in STREAMS else "web"
        return any(self.harmed(s.name, r.sent, r.ended, ignoring=("slower",))
                   for s in self.f.servers if s.service == service)

    def outlasted_stop(self, r):
        """Returns whether r was in progress at a planned stop of its entry,
        and still running at the end of the grace time.

        A run that the entry started after the signal counts only if the
        endpoint has become slower since, or would have ended in time at its
        own speed: otherwise the entry should not have started it.
        """
        for planned_stop in self.journal.stops(r.entry, r.sent, r.ended):
            last = planned_stop.start + GRACE_MS / 1000 - STOP_MARGIN_S
            if r.ended < last:
                continue
            for run in self.runs(r):
                slower = self.journal.harmed(run.server, run.start, r.ended)
                in_time = run.due_end and run.due_end + run.blocked_s <= last
                if run.start <= planned_stop.start + self.world.lag or \
                        slower or in_time:
                    return True
        return False

    def raced_close(self, r):
        """Returns whether r wasn't read as its connection was closing."""
        stopping = self.journal.touched(
            r.entry, r.sent - FAULT_TAIL_S, r.ended)
        return not self.runs(r) and not r.answer_began and \
            r.ended - r.written < CLOSE_RACE_S + self.world.lag and \
            (r.reused or stopping)

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
        """Each request gets a complete answer or a refusal."""
        for r in self.callers.requests:
            if r.outcome != "cut" or self.path_harmed(r):
                continue
            if r.timed_out or self.outlasted_stop(r) or self.raced_close(r):
                continue
            self.fail("cut: " + self.describe(r))

    def bad_gateways(self):
        """A 502 needs a fault that explains it.

        The answer states that it is unknown whether the request ran. If it ran
        at no endpoint, it was lost on its way to one, and a fault of any
        endpoint that it may have been sent to explains that.
        """
        for r in self.callers.requests:
            if r.status != 502 or self.path_harmed(r) or \
                    self.outlasted_stop(r):
                continue
            if self.runs(r) or not self.candidate_harmed(r):
                self.fail("502 without a fault: " + self.describe(r))

    def timeouts(self):
        """Each request that the caller waits for is answered in time."""
        for r in self.callers.requests:
            if r.outcome == "late" and not self.path_harmed(r):
                self.fail("no answer in time: " + self.describe(r))

    def duplicate_runs(self):
        """A request that is unsafe to retry runs at most once."""
        for r in self.callers.requests:
            n = len(self.runs(r))
            if n > 1 and r.kind in UNSAFE:
                self.fail("ran %d times: %s" % (n, self.describe(r)))

    def unreachable(self):
        """An entry without a fault accepts connections until it stops."""
        for r in self.callers.requests:
            if r.outcome == "unreachable" and not self.journal.touched(
                    r.entry, r.sent - FAULT_TAIL_S, r.ended):
                self.fail("refuses connections: " + self.describe(r))

    def cancelled(self):
        """Work of a caller that disconnected is cancelled, and none starts."""
        bound = CANCEL_BOUND_S + self.world.lag
        for r in self.callers.requests:
            if r.outcome != "left" or self.harmed(r.entry, r.sent, r.ended):
                continue
            for run in self.runs(r):
                until = run.end or self.world.run_end
                if until > r.ended + bound and not self.harmed(
                        run.server, r.sent, until):
                    self.fail("ran for %.2f s after its caller disconnected: "
                              "%s" % (until - r.ended, self.describe(r)))

    def draining(self):
        """A draining endpoint gets no new work after the drain bound."""
        bound = DRAIN_BOUND_S + LIST_DELAY_S + self.world.lag
        for rid, runs in self.world.runs.items():
            entry = self.world.sent_to.get(rid, "")
            for run in runs:
                since = run.start - run.draining_for
                if run.draining_for > bound and not self.harmed(
                        entry, since, run.start) and not self.harmed(
                        run.server, since, run.start):
                    self.fail("%s got %s from %s at %s, %.2f s after it began "
                              "to leave" % (run.server, rid, entry,
                                            self.journal.at(run.start),
                                            run.draining_for))

    def unsent(self):
        """Endpoints run only requests that callers have sent."""
        for rid in self.world.runs.keys() - self.world.sent_to.keys():
            self.fail("%r ran, but no caller sent it" % rid)

    def retries(self):
        """In each window, retries of all entries stay in the budget."""
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
                    self.fail("%s: %d retries in a window with %d requests"
                              % (service, n, near))
                    break

    def store_loads(self):
        """Loads from the store keep to the rate limit of the routing, except
        around faults and stops of control VMs.
        """
        controls = [p.name for p in self.f.of_role("control")]
        undisturbed = [t for t in self.world.loads if not any(
            self.journal.touched(c, t - LOADS_WINDOW_S, t) for c in controls)]
        n, start = most_in_window(undisturbed, LOADS_WINDOW_S)
        allowed = self.f.loads_per_s() * LOADS_WINDOW_S + LOADS_BURST
        if n > allowed:
            self.fail("%d loads from the store within %.0f s from %s, %.0f "
                      "are allowed" % (n, LOADS_WINDOW_S,
                                       self.journal.at(start), allowed))

    def poisoned(self):
        """A request that has crashed CRASH_LIMIT endpoints, or a part of
        prompts that has crashed PART_CRASH_LIMIT, reaches few more, once
        entries without a fault have had POISON_KNOWN_S to learn of it.
        """
        controls = [p.name for p in self.f.of_role("control")]
        for body, crash_times in self.world.crashes_by_body.items():
            limit = PART_CRASH_LIMIT if body in self.world.poison_parts \
                else CRASH_LIMIT
            if len(crash_times) < limit:
                continue
            late = [(t, rid) for t, rid in self.world.poison[body]
                    if t > crash_times[limit - 1] + POISON_KNOWN_S]
            undisturbed = [rid for t, rid in late if not any(
                self.journal.touched(
                    name, t - POISON_KNOWN_S - FAULT_TAIL_S, t)
                for name in [self.world.sent_to[rid], *controls])]
            if len(undisturbed) > MAX_LATER_RUNS:
                self.fail("%r crashed %d endpoints and was sent on %d times "
                          "more" % (body, len(crash_times),
                                    len(undisturbed)))

    def signals(self):
        """Entries and agents respect the signals in endpoints' answers."""
        for check in (limit_violations, backoff_violations, drain_violations):
            for text in check(self.f):
                self.fail(text)

    def versions(self):
        """Streams resume only at the version that began them, and enough of
        them do resume.
        """
        for text in (mixed_version_streams(self.world) +
                     too_few_resumed(self.f)):
            self.fail(text)

    def refusals(self):
        """Each refusal for load carries a Retry-After."""
        for r in self.callers.requests:
            if r.outcome == "answered" and r.status in (429, 503) and \
                    not float(r.retry_after or 0) > 0:
                self.fail("%d without a Retry-After: %s" % (
                    r.status, self.describe(r)))

    def slow_engines(self):
        """Slow engines get fewer calls than fast ones of the entry's failure
        domain.
        """
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
