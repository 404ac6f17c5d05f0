"""Checks of customers' keys and limits against observed requests."""
import itertools
import math

from soak_callers import CLASSES
from soak_customers import LIMITS, cost, customer_of
from soak_fleet import QUOTA_SLACK
from soak_journal import most_in_window

# Minimum of requests of a class for a check of its share: with fewer the
# tolerance could exceed 0.3.
MIN_SHARE_REQUESTS = 50
# Tolerance of a comparison of two shares, in standard deviations.
DEVIATIONS = 3.0


class CustomerChecks:
    """All customer checks of a run; each method that all() calls is one."""

    def __init__(self, fleet, callers):
        self.callers, self.world = callers, fleet.world

    def fail(self, text):
        self.world.violations.append(text)

    def keys_withheld(self):
        """No key reaches an endpoint, and each request names its customer."""
        for r in self.callers.requests:
            for headers in self.world.headers_received.get(r.rid, []):
                if any("key-of-" in v for v in headers.values()):
                    self.fail("%s: its key reached an endpoint" % r.rid)
                if headers.get("x-tenant") != customer_of(r.rid):
                    self.fail("%s: customer at the endpoint: %r" % (
                        r.rid, headers.get("x-tenant")))

    def no_false_refusals(self):
        """Valid keys are accepted; customers without a limit get no 429."""
        for r in self.callers.requests:
            if r.status in (401, 403):
                self.fail("%s: its key was refused" % r.rid)
            if r.status == 429 and customer_of(r.rid) not in LIMITS:
                self.fail("%s: refused for a limit it doesn't have" % r.rid)

    def limit_holds(self, customer):
        """The customer's limit holds in each window, whatever fails."""
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
        """Returns class -> (requests, share served), for classes with enough
        requests.

        Only requests that the customer's limit has decided on count.
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
        """Each class gets a part of the customer's limit."""
        for kind, (n, share) in self.shares().items():
            if not share:
                self.fail("%s: none of %d requests was served" % (kind, n))

    def priority_order(self):
        """A class of lower priority is not served a larger share than one of
        higher priority.

        The tolerance is the sampling error of two samples of one share. All
        requests cost about the same, so that counting requests is as good as
        counting tokens.
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
