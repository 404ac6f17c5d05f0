"""Scenarios on real processes: kills, freezes, lost disks, silent connections.

Each states the failure that it guards against, and how it comes about. Waits
are on conditions, so that results don't depend on timing.
"""
import argparse
import json
import os
import shutil
import socket
import sys
import threading
import time
import traceback

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tools"))
from system import System, chat, request, wait_for  # noqa: E402

BUILD = "build"


def new_system(name, **options):
    folder = os.path.join(BUILD, "proc-" + name)
    return System(folder, build=BUILD, **options)


def check(truth, what):
    if not truth:
        raise AssertionError(what)


def runs(s, name, key=None):
    return [e for e in s.events(name) if e["event"] == "run" and
            (key is None or e.get("key") == key)]


def run_counts(s):
    return {e: len(runs(s, e)) for e in s.engines}


def node_that_runs(s, before):
    """The agent of the engine with a new run since the counts were taken; a
    model may have two replicas, and either may get a call."""
    def grown():
        return [e for e, n in run_counts(s).items() if n > before[e]]

    wait_for(grown, why="the stream runs")
    return "agent-" + grown()[0]


def book(s, entry, key, path="/svc/portal-web/book", **options):
    return request(s.addr[entry], "POST", path, {"seat": key},
                   {"Idempotency-Key": key}, **options)


def outcome(body):
    return json.loads(body)["error"]["outcome"]


class Async(threading.Thread):
    """A request in the background; result() returns its value, None if it
    failed."""

    def __init__(self, fn):
        super().__init__(daemon=True)
        self.fn, self.value, self.error = fn, None, None
        self.start()

    def run(self):
        try:
            self.value = self.fn()
        except Exception as e:  # a broken connection is a valid result
            self.error = e

    def result(self, seconds=40):
        self.join(seconds)
        check(not self.is_alive(), "a request got no answer at all")
        return self.value


class Relay:
    """A TCP relay that can go silent: connections stay open, bytes are
    dropped."""

    def __init__(self, target):
        self.target = target
        self.silent = False
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addr = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.connections = 0
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            a, _ = self.listener.accept()
            host, port = self.target.rsplit(":", 1)
            try:
                b = socket.create_connection((host, int(port)))
            except OSError:
                a.close()
                continue
            self.connections += 1
            # Connections made before it went silent drop bytes, new ones pass.
            dropping = {"was": False}
            for x, y in ((a, b), (b, a)):
                threading.Thread(target=self.copy, args=(x, y, dropping),
                                 daemon=True).start()

    def copy(self, x, y, dropping):
        opened_silent = self.silent
        while True:
            try:
                data = x.recv(65536)
                if self.silent and not opened_silent:
                    dropping["was"] = True
                if dropping["was"] and data:
                    continue
                if not data:
                    break
                y.sendall(data)
            except OSError:
                break
        for c in (x, y):
            try:
                c.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def leader_killed_during_load(s):
    """Guards against a model that is loaded twice, or a caller that waits for
    ever, when the leader is killed while a load that it ordered runs and the
    next leader doesn't know of it."""
    call = Async(lambda: chat(s.addr["entry-1"], "parcel-reader", "abc"))
    wait_for(lambda: any(e["event"] == "load" for n in s.engines
                         for e in s.events(n)), why="the load begins")
    old = s.leader()
    s.procs[old].kill()
    status, _, body = call.result()
    check(status == 200 and b"abc-0" in body, "answered %s" % status)
    loads = [e for n in s.engines for e in s.events(n)
             if e["event"] == "load" and e["model"] == "parcel-reader"]
    check(len(loads) == 1, "%d loads" % len(loads))
    s.procs[old].start()
    s.wait_ready()


def frozen_leader_is_harmless(s):
    """Guards against an entry that returns to an old preset. The leader is
    frozen, another is elected and switches the preset, and the old one resumes
    in the belief that it leads."""
    old = s.leader()
    s.procs[old].freeze()
    wait_for(s.leader, why="a new leader")
    code, body = s.operate("GET", "/v1/presets")
    code, answer = s.operate("POST", "/v1/switch",
                             {"preset": "peak", "expect": body["version"]})
    check(code == 200, "switch: %s" % answer)
    version = answer["version"]
    s.procs[old].thaw()
    code, _ = s.operate("POST", "/v1/switch",
                        {"preset": "maintenance", "expect": body["version"]},
                        control=old)
    check(code in (503, 409), "the old leader answered %s" % code)
    wait_for(lambda: s.status().get("processes") and all(
        p["config"] == version for p in s.status()["processes"]),
        why="the new preset on all")
    check(s.operate("GET", "/v1/presets")[1]["in_force"] == "peak",
          "another preset is in force")
    wait_for(lambda: s.is_ready(s.operator[old]), why="the old one follows")


def agent_killed_during_booking(s):
    """Guards against a doubled booking: the agent is killed while the service
    runs it, and the entry must not send it again."""
    call = Async(lambda: book(s, "entry-1", "k-agent",
                              "/svc/portal-web/book?delay_ms=1500"))
    wait_for(lambda: runs(s, "service-1", "k-agent"), why="it runs")
    s.procs["agent-service-1"].kill()
    s.procs["agent-service-1"].start()
    status, _, body = call.result()
    check(status == 502 and outcome(body) == "unknown",
          "answered %s %s" % (status, body))
    wait_for(lambda: len(s.status()["nodes"]) == 4, why="it is back")
    status, _, body = book(s, "entry-2", "k-agent",
                           "/svc/portal-web/book?delay_ms=1500")
    check(status == 502 and outcome(body) == "unknown",
          "a resend was answered %s %s" % (status, body))
    check(len(runs(s, "service-1", "k-agent")) == 1, "it ran again")
    wait_for(lambda: book(s, "entry-1", "k-after")[0] == 200,
             why="bookings go on")


def entry_killed_during_booking(s):
    """Guards against a doubled booking: the entry is killed, and the caller
    resends through another one that knows nothing of the first call."""
    call = Async(lambda: book(s, "entry-1", "k-entry",
                              "/svc/portal-web/book?delay_ms=800"))
    wait_for(lambda: runs(s, "service-1", "k-entry"), why="it runs")
    s.procs["entry-1"].kill()
    call.result()
    status, _, body = book(s, "entry-2", "k-entry",
                           "/svc/portal-web/book?delay_ms=800")
    check(status == 200, "the resend was answered %s %s" % (status, body))
    check(len(runs(s, "service-1", "k-entry")) == 1, "it ran again")
    status, _, body = request(s.addr["entry-2"], "POST",
                              "/svc/portal-web/book", {"seat": "other"},
                              {"Idempotency-Key": "k-entry"})
    check(status == 400, "the key served another request: %s" % status)
    s.procs["entry-1"].start()
    wait_for(lambda: s.is_ready(s.addr["entry-1"]), why="entry-1 is back")


def same_key_at_once(s):
    """Guards against a doubled booking when one key arrives at both entries at
    the same time, and each takes itself for the first."""
    for i in range(10):
        key = "k-both-%d" % i
        calls = [Async(lambda e=e: book(
            s, e, key, "/svc/portal-web/book?delay_ms=20"))
            for e in ("entry-1", "entry-2", "entry-1", "entry-2")]
        answers = [c.result() for c in calls]
        check(all(a[0] == 200 for a in answers),
              "answered %s" % [a[0] for a in answers])
        check(len({a[2] for a in answers}) == 1, "answers differ")
        check(len(runs(s, "service-1", key)) == 1, "it ran again")


def lost_disk_after_repair(s):
    """Guards against the loss of accepted presets. A control VM loses its disk
    and joins again; then a second one is lost. The new member must not count
    before it has the log, nor vote under its old identity."""
    code, body = s.operate("GET", "/v1/presets")
    peak = [p for p in body["presets"] if p["name"] == "peak"][0]
    code, answer = s.operate("PATCH", "/v1/presets/peak", {
        "field": "cold_weight", "value": 33, "expect": peak["version"]})
    check(code == 200, "set: %s" % answer)
    first = [c for c in s.controls if c != s.leader()][0]
    lost = [m["id"] for m in s.status()["members"] if m["name"] == first][0]
    s.procs[first].kill()
    shutil.rmtree(os.path.join(s.folder, first + ".data"))
    s.procs[first].start()

    def whole():
        members = s.status().get("members", [])
        return len(members) == 3 and all(m["voter"] for m in members) and \
            lost not in {m["id"] for m in members}

    wait_for(whole, why="the new identity votes, the old one is gone")
    second = s.leader()
    s.procs[second].kill()
    wait_for(s.leader, why="a leader of the other two")
    code, body = s.operate("GET", "/v1/presets/peak")
    check(code == 200 and body["body"]["cold_weight"] == 33,
          "the accepted change is gone: %s" % body)
    s.procs[second].start()
    s.wait_ready()


def restart_after_hundreds_of_changes(s):
    """Guards against a log that grows without bound, so that a control VM
    starts ever more slowly, and against a restart that loses the newest
    changes. Hundreds of changes with snapshots between them; then all control
    VMs are killed at once."""
    version = [p for p in s.operate("GET", "/v1/presets")[1]["presets"]
               if p["name"] == "ordinary"][0]["version"]
    for i in range(300):
        code, answer = s.operate("PATCH", "/v1/presets/ordinary", {
            "field": "keep_max_ms", "value": 60000 + i, "expect": version,
            "change_id": "many-%d" % i})
        check(code == 200, "change %d: %s" % (i, answer))
        version = answer["version"]
    for c in s.controls:
        s.procs[c].kill()
    for c in s.controls:
        s.procs[c].start()
    s.wait_ready()
    code, body = s.operate("GET", "/v1/presets/ordinary")
    check(body["version"] == version and
          body["body"]["keep_max_ms"] == 60299, "newest change: %s" % body)
    code, answer = s.operate("PATCH", "/v1/presets/ordinary", {
        "field": "keep_max_ms", "value": 60299, "expect": 1,
        "change_id": "many-299"})
    check(code == 200 and answer["resend"] and answer["version"] == version,
          "a resend over snapshot and restart: %s" % answer)
    _, _, metrics = request(s.operator[s.controls[0]], "GET", "/metrics")
    logs = [os.path.getsize(os.path.join(s.folder, c + ".data", "log"))
            for c in s.controls]
    check(max(logs) < 200 * 1200, "logs of %s bytes" % logs)


def operators_race(s):
    """Guards against two operators whose changes are both accepted for one
    version, when the version is not checked as part of the log. Concurrent
    changes expect the same version; the accepted one is resent after the
    leader was killed."""
    version = [p for p in s.operate("GET", "/v1/presets")[1]["presets"]
               if p["name"] == "maintenance"][0]["version"]
    calls = [Async(lambda i=i: s.operate("PATCH", "/v1/presets/maintenance", {
        "field": "keep_max_ms", "value": 600 + i, "expect": version,
        "change_id": "race-%d" % i})) for i in range(6)]
    answers = [c.result() for c in calls]
    won = [i for i, a in enumerate(answers) if a[0] == 200]
    check(len(won) == 1, "%d winners: %s" % (len(won), answers))
    check(all(a[0] == 409 and a[1]["error"]["type"] == "conflict"
              for i, a in enumerate(answers) if i not in won),
          "losers were answered %s" % answers)
    old = s.leader()
    s.procs[old].kill()
    wait_for(s.leader, why="a new leader")
    code, again = s.operate("PATCH", "/v1/presets/maintenance", {
        "field": "keep_max_ms", "value": 600 + won[0], "expect": version,
        "change_id": "race-%d" % won[0]})
    check(code == 200 and again["version"] == answers[won[0]][1]["version"],
          "the resend was answered %s" % again)
    s.procs[old].start()
    s.wait_ready()


def wrong_token_changes_nothing(s):
    """Guards against a preset switch by a client with no token or a wrong
    one."""
    leader = s.leader()
    before = s.operate("GET", "/v1/presets")[1]
    for token in (None, "Bearer wrong", "Bearer demo-token2", "demo-token"):
        headers = {"Authorization": token} if token else {}
        status, _, body = request(s.operator[leader], "POST", "/v1/switch",
                                  {"preset": "maintenance",
                                   "expect": before["version"]}, headers)
        check(status == 401, "%s was answered %s" % (token, status))
    check(s.operate("GET", "/v1/presets")[1] == before, "it changed")


def engine_killed(s):
    """Guards against a model that stays unavailable. The engine is killed with
    the model loaded, and restarts empty, while control still has it as
    ready."""
    check(chat(s.addr["entry-1"], "letter-writer", "one")[0] == 200, "warm")
    at = [r["node"][len("agent-"):] for r in s.status()["replicas"]
          if r["model"] == "letter-writer"][0]
    s.procs[at].kill()
    s.procs[at].start()
    status, _, body = chat(s.addr["entry-2"], "letter-writer", "two",
                           {"X-Deadline-Ms": "20000"})
    check(status == 200 and b"two-0" in body,
          "answered %s %s" % (status, body))


def drained_endpoint(s):
    """Guards against new work on a draining VM, when entries learn of it late,
    and against a cut stream, when the drain does not wait for it. An endpoint
    with a long stream is drained."""
    chat(s.addr["entry-1"], "claims-draft", "warm")
    before = run_counts(s)
    stream = Async(lambda: chat(s.addr["entry-1"], "claims-draft", "long",
                                stream=True, max_tokens=500))
    node = node_that_runs(s, before)
    engine = node[len("agent-"):]
    rc, _, err = s.ctl("node", "drain", node, check=False)
    check(rc == 0, err)
    wait_for(lambda: not [n for n in s.status()["nodes"]
                          if n["name"] == node][0]["usable"], why="drained")
    mark = len(runs(s, engine))
    for i in range(8):
        status, _, _ = chat(s.addr["entry-%d" % (i % 2 + 1)], "claims-draft",
                            "n%d" % i)
        check(status == 200, "answered %s" % status)
    check(len(runs(s, engine)) == mark, "new work on the draining endpoint")
    status, _, body = stream.result()
    check(status == 200 and body.count(b"data: ") == 501 and
          b"[DONE]" in body, "the stream was cut")
    s.ctl("node", "undrain", node)


def planned_stop_of_an_entry(s):
    """Guards against a stop that cuts off a caller. An entry with a long
    stream in progress gets SIGTERM, and must not exit before the stream
    ends."""
    chat(s.addr["entry-1"], "claims-draft", "warm")
    stream = Async(lambda: chat(s.addr["entry-1"], "claims-draft", "last",
                                stream=True, max_tokens=400))
    wait_for(lambda: b"ss_entry_calls 1" in
             request(s.addr["entry-1"], "GET", "/metrics")[2],
             why="the stream runs")
    code = s.procs["entry-1"].stop(30)
    status, _, body = stream.result()
    check(body.count(b"data: ") == 401 and b"[DONE]" in body, "it was cut")
    check(code == 0, "exit code %s" % code)
    s.procs["entry-1"].start()
    wait_for(lambda: s.is_ready(s.addr["entry-1"]), why="entry-1 is back")


def planned_stop_of_an_agent(s):
    """Guards against streams cut by a rolling restart. An agent with a stream
    in progress gets SIGTERM, and must not exit at once."""
    chat(s.addr["entry-1"], "claims-draft", "warm")
    before = run_counts(s)
    stream = Async(lambda: chat(s.addr["entry-1"], "claims-draft", "last",
                                stream=True, max_tokens=300))
    node = node_that_runs(s, before)
    code = s.procs[node].stop(30)
    status, _, body = stream.result()
    check(body.count(b"data: ") == 301 and b"[DONE]" in body, "it was cut")
    check(code == 0, "exit code %s" % code)
    s.procs[node].start()
    status, _, body = chat(s.addr["entry-2"], "claims-draft", "on")
    check(status == 200, "after the restart: %s %s" % (status, body))


def vm_list_is_followed(s):
    """Guards against memory that stays reserved for a VM that no longer
    exists, and work sent to a draining one, when the platform's list is not
    read. It shows a VM as leaving, and then not at all."""
    names = ["agent-" + e for e in s.engines + s.services]

    def put(states):
        request(s.platform, "PUT", "/vms", {"vms": [
            {"name": n, "state": st} for n, st in states.items()]})

    def node(name):
        found = [n for n in s.status().get("nodes", []) if n["name"] == name]
        return found[0] if found else None

    gone = "agent-engine-3"
    put({n: "leaving" if n == gone else "live" for n in names})
    wait_for(lambda: node(gone)["state"] == "draining", why="draining")
    s.procs[gone].kill()
    put({n: "live" for n in names if n != gone})
    wait_for(lambda: s.status().get("nodes") and node(gone) is None, 30,
             why="removed")
    put({n: "live" for n in names})
    s.procs[gone].start()
    wait_for(lambda: node(gone) and node(gone)["state"] == "live" and
             node(gone)["usable"], why="back, as a new one")


def frozen_agent_is_found(s):
    """Guards against callers that wait until their deadline, as the connection
    of a frozen agent stays open. The agent is frozen with a booking in
    progress."""
    call = Async(lambda: book(s, "entry-1", "k-frozen",
                              "/svc/portal-web/book?delay_ms=300"))
    wait_for(lambda: runs(s, "service-1", "k-frozen"), why="it runs")
    s.procs["agent-service-1"].freeze()
    started = time.monotonic()
    status, _, body = call.result()
    took = time.monotonic() - started
    check(status == 502 and outcome(body) == "unknown",
          "answered %s %s" % (status, body))
    print("   found after %.1f s" % took)
    s.procs["agent-service-1"].thaw()
    wait_for(lambda: book(s, "entry-2", "k-thawed")[0] == 200,
             why="bookings go on")
    check(len(runs(s, "service-1", "k-frozen")) == 1, "it ran again")


def silent_connection_is_replaced(s):
    """Guards against a booking that ran and is lost, or runs twice. The
    connection between entry and agent goes silent for good, as when a firewall
    drops its state, while new ones work."""
    relay = s.relays["agent-service-1"]
    call = Async(lambda: book(s, "entry-1", "k-silent",
                              "/svc/portal-web/book?delay_ms=400"))
    wait_for(lambda: runs(s, "service-1", "k-silent"), why="it runs")
    before = relay.connections
    relay.silent = True
    status, _, body = call.result()
    relay.silent = False
    check(status == 200, "answered %s %s" % (status, body))
    check(relay.connections > before, "no new connection was made")
    check(len(runs(s, "service-1", "k-silent")) == 1, "it ran again")


SHARED = [
    leader_killed_during_load, frozen_leader_is_harmless,
    agent_killed_during_booking, entry_killed_during_booking,
    same_key_at_once, lost_disk_after_repair,
    restart_after_hundreds_of_changes, operators_race,
    wrong_token_changes_nothing, engine_killed, drained_endpoint,
    planned_stop_of_an_entry, planned_stop_of_an_agent,
    vm_list_is_followed, frozen_agent_is_found,
    silent_connection_is_replaced,
]


def run_scenario(fn, s):
    started = time.monotonic()
    try:
        fn(s)
        print("ok %s (%.1f s)" % (fn.__name__, time.monotonic() - started),
              flush=True)
        return True
    except Exception as e:
        print("FAILED %s: %s: %s" % (fn.__name__, type(e).__name__, e),
              flush=True)
        traceback.print_exc(limit=4)
        return False


def run_kind(label, only, **options):
    """Run all scenarios in sequence on one system."""
    relays = {}

    def via(name):
        def make(target):
            relays[name] = Relay(target)
            return relays[name].addr
        return make

    s = new_system(label, snapshot_entries=100,
                   listen_via={"agent-service-1": via("agent-service-1")},
                   **options)
    s.relays = relays
    good = True
    try:
        s.start()
        for fn in SHARED:
            if not only or fn.__name__ in only:
                good &= run_scenario(fn, s)
        over = [e for n in s.engines for e in s.events(n)
                if e["event"] == "overcommit"]
        if over:
            print("FAILED %s: memory overcommitted: %s" % (label, over))
            good = False
    finally:
        s.kill()
    return good


def main():
    global BUILD
    p = argparse.ArgumentParser()
    p.add_argument("--build", default="build")
    p.add_argument("--only", nargs="*")
    args = p.parse_args()
    BUILD = args.build
    # Engines that check the fencing token, and engines that ignore it.
    good = run_kind("checks", args.only, checks_fence=True)
    if not args.only:
        good &= run_kind("ignores", args.only, checks_fence=False)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
