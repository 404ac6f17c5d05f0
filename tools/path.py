"""Measures the overhead of each path to an endpoint: directly, through agents,
and through the gate of a fleet, with and without customers' limits.

Measurements of the paths alternate within one run, so that the machine's noise
affects all of them alike.
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
# This many streams overload a single-threaded stand-in, and so show the
# capacity of an entry.
MAX_STREAMS = 512
# A stream has TOKENS of 1 ms each. Starts are spread over that time, so that a
# new stream is measured among running ones, not in a burst of new ones.
TOKENS, STREAM_MS = 400, 400
# Limit of the path "limited", which is never reached.
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


class Path:
    """A path to the endpoint, and the processes on it."""

    def __init__(self, name, web, lm, procs, *more):
        self.name, self.procs = name, procs
        self.web, self.lm = web + more, lm + more

    def cpu_us(self):
        return {name: metrics(addr)["ss_process_cpu_ms_total"] * 1e3
                for name, addr in self.procs.items()}


def alternate(paths, measure_one):
    """Return (path, rows, CPU in us by process) of each path."""
    rows = [[] for _ in paths]
    before = [p.cpu_us() for p in paths]
    for _ in range(ROUNDS):
        for p, r in zip(paths, rows):
            r.append(measure_one(p))
    used = []
    for p, b in zip(paths, before):
        after = p.cpu_us()
        used.append({n: after[n] - b[n] for n in after})
    return zip(paths, rows, used)


def cost(used, n):
    return ", ".join("%s %.1f us" % (k, v / max(n, 1))
                     for k, v in used.items()) or "-"


def small(paths, build, conns, seconds):
    """Print latency and rate of small requests to the plain service."""
    base = None
    print("%d connections, small requests" % conns)
    for p, rows, used in alternate(paths, lambda p: load(
            build, *p.web, "-c", conns, "-s", seconds)):
        p50, p99 = median(rows, "p50_us"), median(rows, "p99_us")
        base = base or (p50, p99)
        print("  %-8s %6.0f/s; p50 %5d us (added %d), p99 %5d us (added %d); "
              "errors %d; CPU a request: %s" % (
                  p.name, rate(rows, "requests"), p50, p50 - base[0], p99,
                  p99 - base[1], sum(r["errors"] for r in rows),
                  cost(used, sum(r["requests"] for r in rows))))


def streams(paths, build, conns, seconds):
    body = json.dumps({"model": "letter-writer", "stream": True,
                       "max_tokens": TOKENS,
                       "messages": [{"role": "user", "content": "s"}]})
    base = None
    print("%d streams" % conns)
    for p, rows, used in alternate(paths, lambda p: load(
            build, *p.lm, "-c", conns, "-s", seconds, "-m", "POST",
            "-b", body, "-r", STREAM_MS)):
        first, pause = (median(rows, k + "_p99_us")
                        for k in ("first", "pause"))
        base = base or (first, pause)
        print("  %-8s %6.0f events/s; p99: first event %5d us (added %d), "
              "pause %5d us (added %d); errors %d; CPU an event: %s" % (
                  p.name, rate(rows, "events"), first, first - base[0], pause,
                  pause - base[1], sum(r["errors"] for r in rows),
                  cost(used, sum(r["events"] for r in rows))))


def idle_memory(s):
    """Print an entry's memory for each idle connection."""
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


def paths_of(s, f, limited):
    lm = "/v1/chat/completions"
    web = "/svc/portal-web/seats/1"
    entry = s.addr["entry-1"]
    return [
        Path("directly", (s.addr["service-1"], "/seats/1"),
             (s.addr["engine-1"], lm), {}),
        Path("agents", (entry, web), (entry, lm), {
            "entry": entry,
            "service agent": s.addr["agent-service-1-status"],
            "engine agent": s.addr["agent-engine-1-status"]}),
        Path("gate", (f.addr, web), (f.addr, lm), {"entry": f.status}),
        Path("limited", (limited.addr, web), (limited.addr, lm),
             {"entry": limited.status}, "-k",
             limited.headers["Authorization"])]


def measure(s, f, limited, args):
    paths = [p for p in paths_of(s, f, limited) if not args.ways or
            p.name in args.ways.split(",")]
    print("each entry is one thread, on one of %d processors; load of the "
          "machine %.1f" % (len(os.sched_getaffinity(0)), os.getloadavg()[0]))
    for conns in (1, 16, 48):
        small(paths, args.build, conns, args.seconds)
    for conns in (32, 128, MAX_STREAMS):
        streams(paths, args.build, conns, args.seconds)


def main():
    p = argparse.ArgumentParser(prog="measure path")
    p.add_argument("--build", default="build")
    p.add_argument("--seconds", type=int, default=2)
    p.add_argument("--ways", default="",
                   help="only these, of directly,agents,gate,limited")
    args = p.parse_args()
    models = {"letter-writer": {"pool": "lm-pool", "bytes": 1 << 30,
                                "slots": MAX_STREAMS}}
    folder = os.path.join(ROOT, args.build, "path")
    # Keeps the model loaded while only the gate calls its engine.
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
