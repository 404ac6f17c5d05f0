"""Checks of customers' keys and limits, by what callers and endpoints saw."""
from soak_customers import BURST, CUSTOMERS, PER_S, cost, customer_of
from soak_fleet import QUOTA_SLACK
from soak_journal import most_in_window


class CustomerChecks:
    """Each method is one check."""

    def __init__(self, fleet, callers):
        self.callers, self.world = callers, fleet.world

    def fail(self, text):
        self.world.faults.append(text)

    def keys_stay(self):
        """No key reaches an endpoint, and each is told whose request it is."""
        for r in self.callers.requests:
            for headers in self.world.heard.get(r.rid, []):
                if any("key-of-" in v for v in headers.values()):
                    self.fail("%s: its key went on" % r.rid)
                if headers.get("x-tenant") != customer_of(r.rid):
                    self.fail("%s: told to be of %r" % (
                        r.rid, headers.get("x-tenant")))

    def none_refused(self):
        """Who has no limit is never refused for one."""
        for r in self.callers.requests:
            if r.status in (401, 403):
                self.fail("%s: its key was refused" % r.rid)
            if r.status == 429 and customer_of(r.rid) != CUSTOMERS[-1]:
                self.fail("%s: refused for a limit it doesn't have" % r.rid)

    def limit_holds(self):
        """In each window, whatever fails."""
        spent = []
        for r in self.callers.requests:
            runs = self.world.runs.get(r.rid)
            if runs and customer_of(r.rid) == CUSTOMERS[-1]:
                spent += [min(run.start for run in runs)] * cost(r)
        if not spent:
            return
        window_s = QUOTA_SLACK["quota_window_s"]
        n, start = most_in_window(sorted(spent), window_s)
        allowed = (PER_S * window_s + BURST) * (
            1 + QUOTA_SLACK["quota_overage"]) + QUOTA_SLACK["quota_extra"]
        if n > allowed:
            self.fail("%d tokens within %.0f s from %.2f, %.0f are allowed" % (
                n, window_s, start, allowed))

    def all(self):
        self.keys_stay()
        self.none_refused()
        self.limit_holds()
