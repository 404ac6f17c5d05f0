"""The demo: starts the whole system on loopback and shows each answer."""
import argparse
import json
import os
import signal
import sys
import threading
import time

from demo_load import show_load
from demo_versions import show_versions
from demo_signals import show_signals
from system import GB, ROOT, System, chat, request, wait_for

FOLDER = os.path.join(ROOT, "build", "demo")


def show(title, started, status, body):
    ms = (time.monotonic() - started) * 1000
    print("\n== %s\n   %d after %.0f ms" % (title, status, ms))
    text = body.decode(errors="replace").strip()
    for line in text.splitlines()[:12]:
        print("   " + line[:150])


def ask(title, fn):
    started = time.monotonic()
    status, _, body = fn()
    show(title, started, status, body)
    return status


def write_addresses(s):
    lines = []
    for i, e in enumerate(s.entries):
        lines.append("ENTRY%d=%s" % (i + 1, s.addr[e]))
    for i, c in enumerate(s.controls):
        lines.append("OPERATOR%d=%s" % (i + 1, s.operator[c]))
    for i, e in enumerate(s.engines):
        lines.append("ENGINE%d=%s" % (i + 1, s.addr[e]))
    for i, e in enumerate(s.services):
        lines.append("SERVICE%d=%s" % (i + 1, s.addr[e]))
    lines.append("TOKEN_FILE=%s" % s.token)
    for name, p in s.procs.items():
        lines.append("PID_%s=%d" % (name.replace("-", "_"), p.pid))
    with open(os.path.join(FOLDER, "addresses"), "w") as f:
        f.write("\n".join(lines) + "\n")


def requests(s):
    """Send the demo's requests; return the number of failed steps."""
    one, two = s.addr["entry-1"], s.addr["entry-2"]
    bad = 0

    def step(title, want, fn):
        nonlocal bad
        if ask(title, fn) != want:
            print("   ^ expected %d" % want)
            bad += 1

    step("a model that nobody has loaded: woken, then answered", 200,
         lambda: chat(one, "claims-draft", "a claim for two meadows"))
    step("the same model, warm, through the other entry", 200,
         lambda: chat(two, "claims-draft", "and a barn"))
    step("streamed", 200,
         lambda: chat(one, "claims-draft", "word by word", stream=True,
                      max_tokens=4))
    step("an adapter of it", 200,
         lambda: chat(one, "claims-draft:vysocina", "in the local style"))
    step("the models", 200, lambda: request(two, "GET", "/v1/models"))
    key = {"Idempotency-Key": "seat-17", "X-Tenant": "tanfolyam"}
    step("a booking at the plain service", 200,
         lambda: request(one, "POST", "/svc/portal-web/book?seat=17",
                         {"seat": 17}, key))
    step("the same booking sent again, through the other entry", 200,
         lambda: request(two, "POST", "/svc/portal-web/book?seat=17",
                         {"seat": 17}, key))
    runs = [e for e in s.events("service-1") if e["event"] == "run"]
    print("   the service ran it %d time(s)" % len(runs))
    bad += len(runs) != 1
    step("an unknown model", 404, lambda: chat(one, "nobody", "hello"))
    step("a deadline that can't be met", 504,
         lambda: chat(one, "course-adviser", "quick",
                      {"X-Deadline-Ms": "60"}))
    return bad


def operators(s):
    bad = 0
    for args in (["presets", "list"],
                 ["presets", "diff", "ordinary", "peak"],
                 ["presets", "switch", "peak", "--wait-ms", "5000"],
                 ["presets", "set", "peak", "cold_weight", "90"],
                 ["presets", "history"],
                 ["why", "claims-draft"],
                 ["status"]):
        print("\n$ sapphireshiftctl " + " ".join(args))
        rc, out, err = s.ctl(*args, check=False)
        print("   " + (out + err).strip().replace("\n", "\n   "))
        bad += rc != 0
    version = s.status()["version"]
    in_force = wait_for(lambda: all(
        p["config"] >= version for p in s.status()["processes"]),
        why="the preset in force everywhere")
    print("\npreset in force on every process: %s" % bool(in_force))
    for p in s.status()["processes"]:
        print("   %-20s version %d" % (p["name"], p["config"]))
    return bad


def wait_for_end(s):
    done = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: done.set())
    signal.signal(signal.SIGINT, lambda *_: done.set())
    print("\nrunning; addresses are in build/demo/addresses; Enter or "
          "SIGTERM ends it", flush=True)

    def read():
        if sys.stdin.readline():
            done.set()

    threading.Thread(target=read, daemon=True).start()
    done.wait()


def main():
    p = argparse.ArgumentParser()
    p.add_argument("--keep", action="store_true",
                   help="leave the system running until Enter or SIGTERM")
    args = p.parse_args()
    s = System(FOLDER, store_mbps=20000)
    bad, clean = 1, False
    try:
        started = time.monotonic()
        s.start()
        print("%d processes, ready after %.0f ms" %
              (len(s.procs), (time.monotonic() - started) * 1000))
        write_addresses(s)
        bad = requests(s) + operators(s)
        if args.keep:
            wait_for_end(s)
        clean = s.stop()
        print("\nstopped %s" % ("cleanly" if clean else "NOT cleanly"))
    finally:
        s.kill()
    bad += show_signals() + show_versions() + show_load()
    return 0 if bad == 0 and clean else 1


if __name__ == "__main__":
    sys.exit(main())
