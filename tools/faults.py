"""Mixed load under a random schedule of faults, then a check of the history.

A seed determines the schedule. Rounds have a fixed length; faults may overlap.
"""
import argparse
import http.client
import json
import os
import random
import sys
import threading
import time

import history
from system import ROOT, System, request, wait_for

ROUND_S = 10.0
WORKERS = 10
ANSWER_TIMEOUT_S = 25.0  # exceeds all deadlines; a later answer is lost


def call(s, r, rng):
    """Send one request and fill in its record."""
    entry = rng.choice(s.entries)
    host, port = s.addr[entry].split(":")
    # A key belongs to a customer: a resend comes from the same one.
    customer = ["desk", "phone", "portal"][sum(r.key.encode()) % 3]
    headers = {"X-Tenant": customer,
               "X-Deadline-Ms": str(rng.choice([4000, 8000, 12000]))}
    if r.kind == "book":
        path = "/svc/portal-web/book?seat=%s&delay_ms=%d" % (
            r.key, rng.choice([0, 0, 30, 200]))
        body = {"seat": r.key}
        headers["Idempotency-Key"] = r.key
    else:
        path = "/v1/chat/completions"
        r.tokens = rng.choice([3, 8, 40])
        body = {"model": rng.choice(list(s.models)), "max_tokens": r.tokens,
                "messages": [{"role": "user", "content": r.key}],
                "stream": r.kind == "stream"}
    conn = http.client.HTTPConnection(host, int(port),
                                      timeout=ANSWER_TIMEOUT_S)
    try:
        conn.request("POST", path, json.dumps(body), headers)
        reply = conn.getresponse()
        r.status = reply.status
        r.request_id = reply.getheader("X-Request-Id")
        r.body = reply.read()
        r.whole = True
    except http.client.IncompleteRead as e:
        r.body, r.broken = e.partial, True
    except TimeoutError:
        r.entry = entry
        return  # no answer: lost
    except (OSError, http.client.HTTPException):
        r.broken = True
        r.status = None
    finally:
        conn.close()
    r.done = time.time()


class Load:
    """Workers that send continuously; bookings are resent until confirmed."""

    def __init__(self, s, seed):
        self.s, self.seed = s, seed
        self.records, self.stop = [], threading.Event()
        self.threads = [threading.Thread(target=self.work, args=(i,),
                                         daemon=True) for i in range(WORKERS)]
        for t in self.threads:
            t.start()

    def work(self, i):
        rng = random.Random(self.seed * 1000 + i)
        n = 0
        while not self.stop.is_set():
            n += 1
            kind = rng.choice(["chat", "chat", "stream", "book", "book"])
            key = "s%dw%dn%d" % (self.seed, i, n)
            for _ in range(3):
                r = history.Record(kind, key, time.time())
                self.records.append(r)
                call(self.s, r, rng)
                # Resend as a caller does, perhaps through another entry.
                if kind != "book" or r.status == 200 or rng.random() < 0.3:
                    break
            time.sleep(rng.random() * 0.05)

    def end(self):
        self.stop.set()
        for t in self.threads:
            t.join(ANSWER_TIMEOUT_S + 10)
        return self.records


class Faults:
    """Injects faults, and ends them after a time."""

    def __init__(self, s, rng):
        self.s, self.rng = s, rng
        self.undo = []  # (monotonic time, fn)
        self.draining = {}  # engine -> [[from, to]] in Unix ms
        self.done = []  # names of the injected faults

    def later(self, seconds, fn):
        self.undo.append((time.monotonic() + seconds, fn))

    def run_due(self, everything=False):
        now = time.monotonic()
        due = [u for u in self.undo if everything or u[0] <= now]
        self.undo = [u for u in self.undo if u not in due]
        for _, fn in due:
            fn()

    def kill(self, name, seconds):
        p = self.s.procs[name]
        if p.alive() and not p.frozen:
            p.kill()
            self.later(seconds, p.start)

    def freeze(self, name, seconds):
        p = self.s.procs[name]
        if p.alive() and not p.frozen:
            p.freeze()
            self.later(seconds, p.thaw)

    def slow_store(self):
        request(self.s.store, "GET", "/slow?factor=8", timeout=3)
        self.later(3, lambda: request(self.s.store, "GET", "/slow?factor=1",
                                      timeout=3))

    def drain(self):
        e = self.rng.choice(self.s.engines)
        code, _ = self.s.operate("POST", "/v1/nodes/agent-%s/drain" % e, {})
        if code != 200:
            return
        begin = time.time() * 1000
        spans = self.draining.setdefault(e, [])
        spans.append([begin, begin + 3600e3])

        def back():
            spans[-1][1] = time.time() * 1000
            self.s.operate("POST", "/v1/nodes/agent-%s/undrain" % e, {})
        self.later(5, back)

    def switch(self):
        code, body = self.s.operate("GET", "/v1/presets")
        if code == 200:
            self.s.operate("POST", "/v1/switch", {
                "preset": self.rng.choice(sorted(self.s.presets)),
                "expect": body["version"]})

    def inject(self):
        s, rng = self.s, self.rng
        kinds = {
            "kill a control VM": lambda: self.kill(
                rng.choice(s.controls), rng.uniform(0.2, 3)),
            "kill the leader": lambda: self.kill(
                s.leader() or s.controls[0], rng.uniform(0.2, 3)),
            "freeze the leader": lambda: self.freeze(
                s.leader() or s.controls[0], rng.uniform(0.5, 5)),
            "kill an agent": lambda: self.kill(
                "agent-" + rng.choice(s.engines + s.services),
                rng.uniform(0.1, 2)),
            "freeze an agent": lambda: self.freeze(
                "agent-" + rng.choice(s.engines + s.services),
                rng.uniform(0.5, 6)),
            "kill an engine": lambda: self.kill(
                rng.choice(s.engines), rng.uniform(0.1, 2)),
            "kill an entry": lambda: self.kill(
                rng.choice(s.entries), rng.uniform(0.1, 1)),
            "freeze an entry": lambda: self.freeze(
                rng.choice(s.entries), rng.uniform(0.3, 3)),
            "slow the store": self.slow_store,
            "drain an endpoint": self.drain,
            "switch the preset": self.switch,
        }
        what = rng.choice(sorted(kinds))
        self.done.append(what)
        try:
            kinds[what]()
        except OSError:
            pass


def entry_versions(s, seen):
    """Sample the configuration version of each entry process."""
    for e in s.entries:
        p = s.procs[e]
        if not p.alive() or p.frozen:
            continue
        try:
            text = request(s.addr[e], "GET", "/metrics", timeout=2)[2]
        except (OSError, http.client.HTTPException):
            continue
        for line in text.decode().splitlines():
            if line.startswith("ss_config_version "):
                seen.setdefault((e, p.pid), []).append(int(line.split()[1]))


def undecided(s):
    """Return 1 if engines keep holding models that no control VM decided on.

    Else 0, as soon as all models that they hold are decided.
    """
    def settled():
        status = s.status()
        decided = {(r["node"], r["model"]) for r in
                   status.get("replicas", [])}
        wrong = []
        for e in s.engines:
            try:
                state = json.loads(request(s.addr[e], "GET", "/admin/state",
                                           timeout=2)[2])
            except (OSError, ValueError):
                return None
            wrong += [m for m in state["models"]
                      if ("agent-" + e, m["model"]) not in decided]
        return [0] if not wrong else None
    try:
        wait_for(settled, 15, step=0.2)
        return 0
    except TimeoutError:
        return 1


def run_round(s, seed):
    rng = random.Random(seed)
    load, faults, versions = Load(s, seed), Faults(s, rng), {}
    end = time.monotonic() + ROUND_S
    next_fault = time.monotonic() + rng.uniform(0.3, 1.5)
    while time.monotonic() < end:
        if time.monotonic() >= next_fault:
            faults.inject()
            # Sometimes two faults at once.
            if rng.random() < 0.25:
                faults.inject()
            next_fault = time.monotonic() + rng.uniform(0.5, 2.0)
        faults.run_due()
        entry_versions(s, versions)
        time.sleep(0.05)
    faults.run_due(everything=True)
    records = load.end()
    entry_versions(s, versions)
    return records, faults, versions


def main():
    p = argparse.ArgumentParser(prog="measure faults")
    p.add_argument("--seed", type=int, default=1)
    p.add_argument("--rounds", type=int, default=3)
    p.add_argument("--build", default="build")
    p.add_argument("--ignore-fence", action="store_true",
                   help="engines ignore the fencing token")
    args = p.parse_args()
    s = System(os.path.join(ROOT, args.build, "faults"), build=args.build,
               snapshot_entries=100, checks_fence=not args.ignore_fence,
               store_mbps=40000)
    total = None
    injected = []
    try:
        s.start()
        for i in range(args.rounds):
            records, faults, versions = run_round(s, args.seed + i)
            s.wait_ready(30)
            journals = {n: s.events(n) for n in s.engines + s.services}
            counts = history.check(records, journals, faults.draining,
                                   versions, undecided(s))
            injected += faults.done
            for r in records:
                if r.done is None:
                    print("lost: %s %s at %.3f through %s" % (
                        r.kind, r.key, r.sent, r.entry))
            for name, spans in faults.draining.items():
                for e in journals[name]:
                    if e["event"] == "run" and any(
                            a + history.DRAIN_GRACE_MS < e["at"] < b
                            for a, b in spans):
                        print("late work: %s %s in %s" % (name, e, spans))
            bad = [c for c in history.VIOLATIONS if counts[c]]
            print("seed %d: %d requests, %d faults%s" % (
                args.seed + i, counts["requests"], len(faults.done),
                "  BROKEN: " + ", ".join(bad) if bad else ""), flush=True)
            total = counts if total is None else total + counts
            for c in history.COUNTS:
                total.setdefault(c, 0)
    finally:
        s.kill()
    print("\n%d faults: %s" % (len(injected), ", ".join(
        "%s %d" % (k, injected.count(k)) for k in sorted(set(injected)))))
    print(history.table(total))
    return 1 if any(total[c] for c in history.VIOLATIONS) else 0


if __name__ == "__main__":
    sys.exit(main())
