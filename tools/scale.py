"""Measures CPU, memory and traffic of each role by the number of processes,
for docs/CAPACITY.md.
"""
import argparse
import os
import subprocess
import sys
import time

from system import ROOT, System, request, wait_for

MEASUREMENT_S = 6.0


class Scaled(System):
    """A system with many entries, and many agents of one stand-in service."""

    def __init__(self, folder, agents, entries, build):
        super().__init__(folder, entries=entries, controls=3, engines=0,
                         services=1, build=build, log_level="warn",
                         spare_ports=agents * 2)
        for i in range(agents):
            name = "many-%d" % i
            self.addr[name] = self.addr["service-1"]
            self._agent(name, self.spare.pop(), self.spare.pop(), "service",
                        "portal-web")
        self.many = ["agent-many-%d" % i for i in range(agents)]


def metrics(addr):
    out = {}
    for line in request(addr, "GET", "/metrics")[2].decode().splitlines():
        key, _, value = line.rpartition(" ")
        out[key] = float(value)
    return out


def sample(s, name):
    addr = s.operator.get(name) or s.addr.get(name + "-status") or \
        s.addr[name]
    m = metrics(addr)
    return (m["ss_process_cpu_ms_total"], m["ss_process_resident_bytes"],
            m.get('ss_own_bytes_total{way="out"}', 0) +
            m.get('ss_own_bytes_total{way="in"}', 0))


def rates(s, names):
    """Return means per process: CPU in % of a core, MB, bytes per second."""
    start = time.monotonic()
    before = {n: sample(s, n) for n in names}
    time.sleep(MEASUREMENT_S)  # measured interval, no wait for a condition
    after = {n: sample(s, n) for n in names}
    took = time.monotonic() - start
    n = len(names)
    return (sum(after[x][0] - before[x][0] for x in names) / n / took / 10,
            sum(after[x][1] for x in names) / n / 1e6,
            sum(after[x][2] - before[x][2] for x in names) / n / took)


def measure_size(agents, entries, build):
    s = Scaled(os.path.join(ROOT, build, "scale"), agents, entries, build)
    try:
        s.start(ready=False)
        wait_for(s.leader, 30, why="a leader")
        wait_for(lambda: len(s.status().get("nodes", [])) == agents + 1, 60,
                 step=0.2, why="all agents registered")
        for e in s.entries:
            wait_for(lambda: request(
                s.addr[e], "GET", "/svc/portal-web/seats/1",
                headers={"X-Deadline-Ms": "8000"})[0] == 200, 30, step=0.1,
                why=e)
        leader = s.leader()
        row = {"leader": rates(s, [leader])}
        row["follower"] = rates(s, [c for c in s.controls if c != leader])
        row["agent"] = rates(s, s.many[:20])
        row["entry"] = rates(s, s.entries[:10])
        start = time.monotonic()
        rc, _, err = s.ctl("presets", "switch", "peak", "--wait-ms", "20000")
        apply_ms = (time.monotonic() - start) * 1e3
        print("agents %4d entries %3d  preset in force everywhere after "
              "%.0f ms" % (agents, entries, apply_ms))
        for role, (cpu, mb, b) in row.items():
            print("   %-9s %6.2f %% of a core  %6.1f MB  %8.0f bytes/s" %
                  (role, cpu, mb, b), flush=True)
    finally:
        s.kill()


def main():
    p = argparse.ArgumentParser(prog="measure scale")
    p.add_argument("--build", default="build")
    p.add_argument("--sizes", default="10x5,50x20,100x40,200x40")
    args = p.parse_args()
    print(subprocess.check_output(
        [os.path.join(ROOT, args.build, "bench-cores")]).decode())
    for size in args.sizes.split(","):
        agents, entries = size.split("x")
        measure_size(int(agents), int(entries), args.build)
    return 0


if __name__ == "__main__":
    sys.exit(main())
