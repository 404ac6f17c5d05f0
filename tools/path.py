"""Speed of the path: at the stand-in directly, through agents, and through
the gate of a fleet, with and without customers' limits, in turns within one run, so that all meet the same noise.
"""
import argparse
import json
import os
import subprocess
import sys

from fleet import Fleet
from scale import metrics
from system import PRESETS, ROOT, System, chat, request, wait_for

ROUNDS = 3
# Streams beside which no stand-in of one thread keeps its pace: they show
# what an entry bears.
MANY = 512
# A stream of TOKENS at 1 ms each; they begin spread over that time, so that
# each newcomer is seen beside others, not beside a crowd of newcomers.
TOKENS, STREAM_MS = 400, 400
# Of the way with limits: one that is never reached.
CUSTOMERS = [{"name": "one", "keys": ["key-1"], "unit": "token",
              "rawTokens": 200, "ratePerS": 1e12, "burst": 1e12}]


def load(build, addr, path, *args):
    out = subprocess.check_output([
        os.path.join(ROOT, build, "bench-load"), "-a", addr, "-p", path] +
        [str(a) for a in args])
    return json.loads(out)


def median(rows, key):
    return sorted(r[key] for r in rows)[len(rows) // 2]


def rate(rows, key):
    return sum(r[key] for r in rows) / sum(r["seconds"] for r in rows)


class Way:
    """One way to the endpoint, and the processes that it goes through."""

    def __init__(self, name, web, lm, procs, *more):
        self.name, self.procs = name, procs
        self.web, self.lm = web + more, lm + more

    def cpu_us(self):
        return {name: metrics(addr)["ss_process_cpu_ms_total"] * 1e3
                for name, addr in self.procs.items()}


def in_turns(ways, ask):
    """(rows, CPU in us by process) of each way."""
    rows = [[] for _ in ways]
    before = [w.cpu_us() for w in ways]
    for _ in range(ROUNDS):
        for w, r in zip(ways, rows):
            r.append(ask(w))
    used = []
    for w, b in zip(ways, before):
        after = w.cpu_us()
        used.append({n: after[n] - b[n] for n in after})
    return zip(ways, rows, used)


def cost(used, n):
    return ", ".join("%s %.1f us" % (k, v / max(n, 1))
                     for k, v in used.items()) or "-"


def small(ways, build, conns, seconds):
    """Small requests to the plain service."""
    base = None
    print("%d connections, small requests" % conns)
    for w, rows, used in in_turns(ways, lambda w: load(
            build, *w.web, "-c", conns, "-s", seconds)):
        p50, p99 = median(rows, "p50_us"), median(rows, "p99_us")
        base = base or (p50, p99)
        print("  %-8s %6.0f/s; p50 %5d us (added %d), p99 %5d us (added %d); "
              "errors %d; CPU a request: %s" % (
                  w.name, rate(rows, "requests"), p50, p50 - base[0], p99,
                  p99 - base[1], sum(r["errors"] for r in rows),
                  cost(used, sum(r["requests"] for r in rows))))


def streams(ways, build, conns, seconds):
    body = json.dumps({"model": "letter-writer", "stream": True,
                       "max_tokens": TOKENS,
                       "messages": [{"role": "user", "content": "s"}]})
    base = None
    print("%d streams" % conns)
    for w, rows, used in in_turns(ways, lambda w: load(
            build, *w.lm, "-c", conns, "-s", seconds, "-m", "POST",
            "-b", body, "-r", STREAM_MS)):
        first, pause = (median(rows, k + "_p99_us")
                        for k in ("first", "pause"))
        base = base or (first, pause)
        print("  %-8s %6.0f events/s; p99: first event %5d us (added %d), "
              "pause %5d us (added %d); errors %d; CPU an event: %s" % (
                  w.name, rate(rows, "events"), first, first - base[0], pause,
                  pause - base[1], sum(r["errors"] for r in rows),
                  cost(used, sum(r["events"] for r in rows))))


def idle_memory(s):
    """Of connections that ask nothing."""
    import socket
    idle = metrics(s.addr["entry-1"])["ss_process_resident_bytes"]
    host, port = s.addr["entry-1"].split(":")
    held = [socket.create_connection((host, int(port))) for _ in range(1000)]
    wait_for(lambda: metrics(s.addr["entry-1"])
             ["ss_entry_connections"] >= 1000)
    now = metrics(s.addr["entry-1"])["ss_process_resident_bytes"]
    print("memory of an idle connection (agents): %.1f KB" %
          ((now - idle) / 1000 / 1e3))
    for c in held:
        c.close()


def ways_of(s, f, limited):
    lm = "/v1/chat/completions"
    web = "/svc/portal-web/seats/1"
    entry = s.addr["entry-1"]
    return [
        Way("directly", (s.addr["service-1"], "/seats/1"),
            (s.addr["engine-1"], lm), {}),
        Way("agents", (entry, web), (entry, lm), {
            "entry": entry,
            "service agent": s.addr["agent-service-1-status"],
            "engine agent": s.addr["agent-engine-1-status"]}),
        Way("gate", (f.addr, web), (f.addr, lm), {"entry": f.status}),
        Way("limited", (limited.addr, web), (limited.addr, lm),
            {"entry": limited.status}, "-k",
            limited.headers["Authorization"])]


def measure(s, f, limited, args):
    ways = [w for w in ways_of(s, f, limited) if not args.ways or
            w.name in args.ways.split(",")]
    print("each entry is one thread, on one of %d processors; load of the "
          "machine %.1f" % (len(os.sched_getaffinity(0)), os.getloadavg()[0]))
    for conns in (1, 16, 48):
        small(ways, args.build, conns, args.seconds)
    for conns in (32, 128, MANY):
        streams(ways, args.build, conns, args.seconds)


def main():
    p = argparse.ArgumentParser(prog="measure path")
    p.add_argument("--build", default="build")
    p.add_argument("--seconds", type=int, default=2)
    p.add_argument("--ways", default="",
                   help="only these, of directly,agents,gate,limited")
    args = p.parse_args()
    models = {"letter-writer": {"pool": "lm-pool", "bytes": 1 << 30,
                                "slots": MANY}}
    folder = os.path.join(ROOT, args.build, "path")
    # The model stays loaded, also while only the gate calls its engine.
    keep = dict(PRESETS["ordinary"], keep_min_ms=3600000,
                keep_max_ms=3600000)
    s = System(folder, build=args.build, entries=1, engines=1, token_ms=1,
               models=models, log_level="warn", spare_ports=12,
               presets={"ordinary": keep})
    endpoints = {"web": s.addr["service-1"], "lm": s.addr["engine-1"]}
    f = Fleet(folder + "-fleet", args.build, s.spare[:6], endpoints)
    limited = Fleet(folder + "-limited", args.build, s.spare[6:], endpoints,
                    CUSTOMERS)
    try:
        s.start()
        wait_for(lambda: request(
            s.addr["entry-1"], "GET", "/svc/portal-web/seats/1")[0] == 200)
        chat(s.addr["entry-1"], "letter-writer", "warm", max_tokens=1)
        f.start()
        limited.start()
        measure(s, f, limited, args)
        idle_memory(s)
    finally:
        limited.kill()
        f.kill()
        s.kill()
    return 0


if __name__ == "__main__":
    sys.exit(main())
