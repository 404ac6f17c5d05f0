"""Checks of customers' keys and limits, by what callers and endpoints saw."""
import itertools
import math

from soak_callers import CLASSES
from soak_customers import LIMITS, cost, customer_of
from soak_fleet import QUOTA_SLACK
from soak_journal import most_in_window

# Requests of a class from which on its share is judged: with fewer the slack
# could be more than 0.3.
MIN_SHARE_REQUESTS = 50
# Standard deviations by which two shares may differ by chance.
DEVIATIONS = 3.0


class CustomerChecks:
    """Each method is one check."""

    def __init__(self, fleet, callers):
        self.callers, self.world = callers, fleet.world

    def fail(self, text):
        self.world.faults.append(text)

    def keys_withheld(self):
        """No key reaches an endpoint, and each is told whose request it is."""
        for r in self.callers.requests:
            for headers in self.world.heard.get(r.rid, []):
                if any("key-of-" in v for v in headers.values()):
                    self.fail("%s: its key went on" % r.rid)
                if headers.get("x-tenant") != customer_of(r.rid):
                    self.fail("%s: told to be of %r" % (
                        r.rid, headers.get("x-tenant")))

    def no_false_refusals(self):
        """Who has no limit is never refused for one."""
        for r in self.callers.requests:
            if r.status in (401, 403):
                self.fail("%s: its key was refused" % r.rid)
            if r.status == 429 and customer_of(r.rid) not in LIMITS:
                self.fail("%s: refused for a limit it doesn't have" % r.rid)

    def limit_holds(self, customer):
        """In each window, whatever fails."""
        spent, per_s = [], LIMITS[customer]
        for r in self.callers.requests:
            runs = self.world.runs.get(r.rid)
            if runs and customer_of(r.rid) == customer:
                spent += [min(run.start for run in runs)] * cost(r)
        if not spent:
            return
        window_s = QUOTA_SLACK["quota_window_s"]
        n, start = most_in_window(sorted(spent), window_s)
        allowed = (per_s * window_s + per_s) * (
            1 + QUOTA_SLACK["quota_overage"]) + QUOTA_SLACK["quota_extra"]
        if n > allowed:
            self.fail("%d tokens within %.0f s from %.2f, %.0f are allowed" % (
                n, window_s, start, allowed))

    def shares(self):
        """Class -> (requests, share served), where enough were made. Of the
        requests that their customer's limit has decided on.
        """
        out = {}
        for kind in CLASSES:
            got = [r.status != 429 for r in self.callers.requests
                   if r.kind == kind and (r.status == 429 or
                                          r.rid in self.world.runs)]
            if len(got) >= MIN_SHARE_REQUESTS:
                out[kind] = len(got), sum(got) / len(got)
        return out

    def none_starved(self):
        """No class gets nothing of a limit."""
        for kind, (n, share) in self.shares().items():
            if not share:
                self.fail("%s: none of %d requests was served" % (kind, n))

    def priority_order(self):
        """A less urgent class gets no larger share than a more urgent one,
        but by chance: the slack is that of two samples of one share. Costs
        are alike, so that requests count as tokens do.
        """
        shares = self.shares()
        for a, b in itertools.combinations(sorted(shares), 2):
            (n_a, urgent), (n_b, less_urgent) = shares[a], shares[b]
            both = (n_a * urgent + n_b * less_urgent) / (n_a + n_b)
            slack = DEVIATIONS * math.sqrt(
                both * (1 - both) * (1 / n_a + 1 / n_b))
            if less_urgent > urgent + slack:
                self.fail("%s was served %.2f of %d requests, and %s %.2f of "
                          "%d" % (b, less_urgent, n_b, a, urgent, n_a))

    def all(self):
        self.keys_withheld()
        self.no_false_refusals()
        for customer in LIMITS:
            self.limit_holds(customer)
        self.none_starved()
        self.priority_order()
