"""One of three control VMs is replaced; after catchUpS another loses its disk."""
import json
import os
import shutil
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import deployment as d

EMPTY_AFTER_S = 1.0   # the successor starts this long after the loss (x)
CATCH_UP_S = 4.0      # catchUpS: from then on the next loss is to be borne
# From the successor's start until the next loss.
NEXT_LOSS_S = CATCH_UP_S + float(os.environ.get("MARGIN_S", "0.3"))
DOWN_S = 0.5
WATCHED_S = 30        # for how long the operator tries; recoverS is 12 here
SUCCESSOR_IP = "127.0.0.14"

CONFIG = {
    "routes": [{"name": "orders", "host": "desk.example", "prefix": "/o/",
                "type": "safe", "timeoutMs": 2000, "goalMs": 300,
                "priority": 2, "service": "pedidos", "attempts": 2}],
    "services": [{"name": "pedidos", "healthPath": "/healthz",
                  "maxConns": 130, "proto": "h1", "tls": False}],
    "limits": d.LIMITS,
}


class Deployment(d.Deployment):
    MORE_IPS = [SUCCESSOR_IP]

    def add_successor(self):
        self.add("control-3", "control", d.ZONES[0],
                 "%s:%d" % (SUCCESSOR_IP, self.frames),
                 {"operator_listen": "%s:%d" % (SUCCESSOR_IP, self.operators),
                  "lease_ms": 3000, "vm_list": self.cloud.addr},
                 control_vm={"data": os.path.join(self.folder, "data-3"),
                             "presets_dir": d.PRESETS,
                             "first_preset": "ordinary",
                             "found_group": False})


def handle(server, r, sock):
    sock.sendall(d.response(200, {"X-Request-Id": r.id,
                                  "X-Signature": "sig-" + r.id}, b"ok"))
    return True


def read_back(dep, ips):
    """Returns the version that any control VM answers, or None."""
    for ip in ips:
        addr = "%s:%d" % (ip, dep.operators)
        for _ in range(3):
            a = d.call(addr, "GET", "/sapphireshift/Config.Get",
                       {"Host": addr}, timeout=2.0)
            if a.status != 307:
                break
            addr = a.headers["location"].split("/")[2]
        if a.status == 200:
            return json.loads(a.body)["version"]
    return None


def lose_disk(dep, vm, i):
    """Ends a control VM for good, or until it is started with an empty
    disk."""
    vm.kill()
    shutil.rmtree(os.path.join(dep.folder, "data-%d" % i))
    with open(vm.settings) as f:
        settings = json.load(f)
    settings["control_vm"]["found_group"] = False
    with open(vm.settings, "w") as f:
        json.dump(settings, f)


def report_members(record, dep):
    for p in dep.procs:
        if not p.name.startswith("control"):
            continue
        for line in dep.logs(p.name).split("\n"):
            if any(" event=%s " % e in line for e in
                   ("join", "joined", "promote", "drop_member", "lead")):
                record("log of %s: %s", p.name, line[:150])


def disrupt(record, dep):
    replaced, other = dep.process("control-0"), dep.process("control-1")
    lose_disk(dep, replaced, 0)
    dep.procs.remove(replaced)
    record("control-0 is gone for good")
    d.time.sleep(EMPTY_AFTER_S)
    dep.add_successor()
    record("its successor control-3 starts, empty, at another address")
    d.time.sleep(NEXT_LOSS_S)
    lose_disk(dep, other, 1)
    record("control-1 is down and has lost its disk, %.1f s after the "
           "successor's start", NEXT_LOSS_S)
    d.time.sleep(DOWN_S)
    other.start()
    record("control-1 is back at its address, with an empty disk")


def case(record):
    servers = [d.Server("pedidos", d.ZONES[i], "app-%d" % i, handle)
               for i in range(2)]
    dep = Deployment(servers, CONFIG, entries=1)
    ips = dep.CONTROL_IPS + [SUCCESSOR_IP]
    try:
        dep.start()
        d.time.sleep(3.0)
        dep.put()
        record("version %d is acknowledged", dep.version)
        if d.TROUBLE:
            disrupt(record, dep)
        else:
            d.time.sleep(EMPTY_AFTER_S + NEXT_LOSS_S + DOWN_S)
        start = d.time.monotonic()
        version = None
        while version is None and d.time.monotonic() - start < WATCHED_S:
            version = read_back(dep, ips)
            d.time.sleep(0.2)
        took = d.time.monotonic() - start
        record("read back %.1f s after all were back: %s", took,
               "version %d" % version if version else "nothing")
        report_members(record, dep)
        ended = dep.ended()
    finally:
        dep.stop()
    if ended:
        record("processes that ended by themselves: %s", ended)
    return version is None or version < dep.version


sys.exit(d.play(HERE, case))
