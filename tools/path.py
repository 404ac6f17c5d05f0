"""Speed of the path: through an entry, and at the stand-in directly, in
turns within one run, so that both meet the same noise."""
import argparse
import json
import os
import subprocess
import sys

from scale import metrics
from system import ROOT, System, chat, request, wait_for


def load(build, addr, path, conns, seconds, body="", method="GET"):
    out = subprocess.check_output([
        os.path.join(ROOT, build, "bench-load"), "-a", addr, "-p", path,
        "-c", str(conns), "-s", str(seconds), "-b", body, "-m", method])
    return json.loads(out)


def cpu(s, name):
    addr = s.addr.get(name + "-status") or s.operator.get(name) or \
        s.addr[name]
    return metrics(addr)["ss_process_cpu_ms_total"]


def small(s, build, conns, seconds):
    """Small requests to the plain service, in turns."""
    direct, through = [], []
    names = ["entry-1", "agent-service-1", "ctl-1"]
    before = {n: cpu(s, n) for n in names}
    for _ in range(3):
        direct.append(load(build, s.addr["service-1"], "/seats/1", conns,
                           seconds))
        through.append(load(build, s.addr["entry-1"],
                            "/svc/portal-web/seats/1", conns, seconds))
    used = {n: cpu(s, n) - before[n] for n in names}
    n = sum(t["requests"] for t in through)
    rate = n / sum(t["seconds"] for t in through)
    p = lambda rows, k: sorted(r[k] for r in rows)[1]
    print("%3d connections: %6.0f requests/s (directly %6.0f); p50 %5d us "
          "(directly %5d), p99 %5d us (%5d); errors %d" % (
              conns, rate, sum(d["requests"] for d in direct) /
              sum(d["seconds"] for d in direct), p(through, "p50_us"),
              p(direct, "p50_us"), p(through, "p99_us"), p(direct, "p99_us"),
              sum(t["errors"] for t in through)))
    print("     added at p50: %d us; CPU a request: %s" % (
        p(through, "p50_us") - p(direct, "p50_us"), ", ".join(
            "%s %.0f us" % (k, v * 1e3 / max(n, 1))
            for k, v in used.items())))


def streams(s, build, conns, seconds):
    body = json.dumps({"model": "letter-writer", "stream": True,
                       "max_tokens": 400,
                       "messages": [{"role": "user", "content": "s"}]})
    before = cpu(s, "entry-1")
    r = load(build, s.addr["entry-1"], "/v1/chat/completions", conns,
             seconds, body, "POST")
    used = cpu(s, "entry-1") - before
    print("%3d streams: %7.0f events/s through one entry, %.1f us of its "
          "CPU an event" % (conns, r["events"] / r["seconds"],
                            used * 1e3 / max(r["events"], 1)))


def main():
    p = argparse.ArgumentParser(prog="measure path")
    p.add_argument("--build", default="build")
    p.add_argument("--seconds", type=int, default=2)
    args = p.parse_args()
    models = {"letter-writer": {"pool": "lm-pool", "bytes": 1 << 30,
                                "slots": 512}}
    s = System(os.path.join(ROOT, args.build, "path"), build=args.build,
               entries=1, engines=1, token_ms=1, models=models,
               log_level="warn")
    try:
        s.start()
        wait_for(lambda: request(
            s.addr["entry-1"], "GET", "/svc/portal-web/seats/1")[0] == 200)
        chat(s.addr["entry-1"], "letter-writer", "warm", max_tokens=1)
        for conns in (1, 16, 48):
            small(s, args.build, conns, args.seconds)
        for conns in (32, 128):
            streams(s, args.build, conns, args.seconds)
        idle = metrics(s.addr["entry-1"])["ss_process_resident_bytes"]
        import socket
        host, port = s.addr["entry-1"].split(":")
        held = [socket.create_connection((host, int(port)))
                for _ in range(1000)]
        wait_for(lambda: metrics(s.addr["entry-1"])
                 ["ss_entry_connections"] >= 1000)
        now = metrics(s.addr["entry-1"])["ss_process_resident_bytes"]
        print("memory of an idle connection: %.1f KB" %
              ((now - idle) / 1000 / 1e3))
        for c in held:
            c.close()
    finally:
        s.kill()
    return 0


if __name__ == "__main__":
    sys.exit(main())
