"""Record of injected faults and planned stops, by process, server or link.

Checks use it to decide whether a fault excuses what a caller or an endpoint
observed.
"""
import contextlib
import time


class Span:
    """One fault or planned stop; end is None while it lasts."""

    def __init__(self, name, what, planned):
        self.name, self.what, self.planned = name, what, planned
        self.start, self.end = time.monotonic(), None

    def touches(self, since, until):
        return self.start <= until and (self.end is None or self.end >= since)


class Journal:
    """All faults of a run, by the name of what they hit."""

    def __init__(self):
        self.zero = time.monotonic()  # start of the run
        self.spans = {}      # process, server or link -> [Span, ...]

    @contextlib.contextmanager
    def span(self, name, what, planned=False):
        s = Span(name, what, planned)
        self.spans.setdefault(name, []).append(s)
        try:
            yield s
        finally:
            s.end = time.monotonic()

    def note(self, name, what):
        with self.span(name, what):
            pass

    def harmed(self, name, since, until, ignoring=()):
        """Returns whether an unplanned fault hit that name in that time."""
        return any(s.touches(since, until) for s in self.spans.get(name, ())
                   if not s.planned and s.what not in ignoring)

    def touched(self, name, since, until):
        """Returns the same, with planned stops included."""
        return any(s.touches(since, until) for s in self.spans.get(name, ()))

    def stops(self, name, since, until):
        return [s for s in self.spans.get(name, ())
                if s.planned and s.touches(since, until)]

    def at(self, t):
        """Returns the seconds from the start of the run to t, as text."""
        return "%.2f" % (t - self.zero)


def most_in_window(times, window_s):
    """Returns (count, start) of the window with most of the sorted times."""
    best, first = (0, 0.0), 0
    for i, t in enumerate(times):
        while times[first] < t - window_s:
            first += 1
        best = max(best, (i - first + 1, times[first]))
    return best
