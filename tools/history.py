"""Compares the answers that callers got with the journals of endpoints."""
import collections
import json


class Record:
    """One request, as seen by its caller."""

    def __init__(self, kind, key, sent):
        self.kind, self.key, self.sent = kind, key, sent
        self.done = None
        self.status = None   # None: the connection broke, or no answer
        self.body = b""
        self.whole = False   # the body is complete
        self.broken = False  # the connection broke
        self.tokens = 0
        self.request_id = None

    def outcome(self):
        try:
            return json.loads(self.body)["error"]["outcome"]
        except (ValueError, KeyError, TypeError):
            return None


COUNTS = ["requests", "answered", "refused_not_run", "refused_unknown",
          "connection_broken", "lost", "doubled", "false_not_run", "mixed",
          "cut_but_whole", "memory_over", "undecided_replicas",
          "work_after_leaving", "config_reverted"]
# Counts that must be zero.
VIOLATIONS = COUNTS[5:]
DRAIN_GRACE_MS = 3000  # work may still start this long after a drain begins


def runs_of(journals):
    """Return the numbers of runs by idempotency key and by request id."""
    keys, ids = collections.Counter(), collections.Counter()
    for events in journals.values():
        for e in events:
            if e["event"] == "run":
                if e.get("key"):
                    keys[e["key"]] += 1
                ids[e["request"]] += 1
    return keys, ids


def count_answers(records, counts, keys, ids):
    for r in records:
        counts["requests"] += 1
        if r.done is None:
            counts["lost"] += 1
        elif r.status is None or (r.broken and not r.whole):
            counts["connection_broken"] += 1
        elif r.status == 200:
            counts["answered"] += 1
            check_answer(r, counts)
        elif r.outcome() == "not_run":
            counts["refused_not_run"] += 1
            if ids[r.request_id]:
                counts["false_not_run"] += 1
        else:
            counts["refused_unknown"] += 1


def check_answer(r, counts):
    text = r.body.decode(errors="replace")
    if r.kind == "book":
        answer = json.loads(text)
        if "seat=" + r.key not in answer["path"]:
            counts["mixed"] += 1
        return
    if r.kind == "stream":
        whole = "data: [DONE]" in text
        words = [w for w in text.split('"content":"')[1:]]
        if whole and len(words) != r.tokens:
            counts["cut_but_whole"] += 1
        if any(not w.strip().startswith(r.key) for w in words):
            counts["mixed"] += 1
        return
    content = json.loads(text)["choices"][0]["message"]["content"]
    words = content.split()
    if len(words) != r.tokens:
        counts["cut_but_whole"] += 1
    if any(not w.startswith(r.key + "-") for w in words):
        counts["mixed"] += 1


def check(records, journals, draining, versions, undecided):
    """Count all outcomes and violations.

    records: requests of callers; journals: name -> events; draining:
    endpoint -> [(from, to)] in Unix ms; versions: process -> sampled
    versions; undecided: replicas that no control VM decided on.
    """
    counts = collections.Counter({c: 0 for c in COUNTS})
    keys, ids = runs_of(journals)
    count_answers(records, counts, keys, ids)
    counts["doubled"] = sum(1 for k, n in keys.items() if n > 1)
    for name, events in journals.items():
        counts["memory_over"] += sum(
            1 for e in events if e["event"] == "overcommit" or
            e.get("used", 0) > e.get("memory", 1 << 62))
        for begin, end in draining.get(name, []):
            counts["work_after_leaving"] += sum(
                1 for e in events
                if e["event"] == "run" and
                begin + DRAIN_GRACE_MS < e["at"] < end)
    for seen in versions.values():
        counts["config_reverted"] += sum(
            1 for a, b in zip(seen, seen[1:]) if b < a)
    counts["undecided_replicas"] = undecided
    return counts


def table(counts):
    lines = ["%-22s %8d%s" % (c, counts[c], "  <- must be 0"
                              if c in VIOLATIONS and counts[c] else "")
             for c in COUNTS]
    return "\n".join(lines)
