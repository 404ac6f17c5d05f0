"""Starts and stops a whole system with stand-ins on loopback.

Used by the demo, the tests of real processes and the measurements. The kernel
assigns the ports, waits are on conditions, and signals go only to processes
that this module started, by id.
"""
import http.client
import json
import os
import shutil
import signal
import subprocess
import time

from ports import free_port, release_ports

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
GB = 1 << 30
MARK = "X-Signature"  # header by which entries know an endpoint's own answer

PRESETS = {
    "ordinary": {
        "cold_weight": 50, "keep_min_ms": 2000, "keep_max_ms": 60000,
        "wake_ahead": False, "store_per_minute": 600, "store_parallel": 4,
        "classes": {
            "interactive": {"deadline_ms": 30000, "priority": 5,
                            "reserve_percent": 10},
            "query": {"deadline_ms": 10000, "priority": 6},
            "check": {"deadline_ms": 300000, "priority": 3},
            "batch": {"deadline_ms": 3600000, "priority": 1},
        },
    },
}
PRESETS["peak"] = dict(PRESETS["ordinary"], cold_weight=80,
                       keep_min_ms=20000)
PRESETS["maintenance"] = dict(PRESETS["ordinary"], cold_weight=0,
                              keep_min_ms=0, keep_max_ms=500)

MODELS = {
    "claims-draft": {"pool": "lm-pool", "bytes": 8 * GB, "slots": 8},
    "parcel-reader": {"pool": "lm-pool", "bytes": 16 * GB, "slots": 8},
    "course-adviser": {"pool": "lm-pool", "bytes": 24 * GB, "slots": 4},
    "letter-writer": {"pool": "lm-pool", "bytes": 4 * GB, "slots": 16},
    "vysocina": {"base": "claims-draft", "pool": "lm-pool",
                 "bytes": GB // 4, "slots": 8},
}


def wait_for(what, seconds=15.0, step=0.01, why=""):
    """Poll what() until it returns a true value, and return that."""
    end = time.monotonic() + seconds
    while True:
        got = what()
        if got:
            return got
        if time.monotonic() > end:
            raise TimeoutError(why or getattr(what, "__name__", "condition"))
        time.sleep(step)


def request(addr, method, path, body=None, headers=None, timeout=60.0):
    """Send an HTTP request: (status, headers, body). Raises OSError."""
    host, port = addr.rsplit(":", 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        if isinstance(body, (dict, list)):
            body = json.dumps(body)
        conn.request(method, path, body, headers or {})
        reply = conn.getresponse()
        return reply.status, dict(reply.getheaders()), reply.read()
    finally:
        conn.close()


def chat(addr, model, text, headers=None, timeout=60.0, **fields):
    body = dict({"model": model,
                 "messages": [{"role": "user", "content": text}]}, **fields)
    return request(addr, "POST", "/v1/chat/completions", body, headers,
                   timeout)


class Process:
    """One process that this module started."""

    def __init__(self, name, argv, log):
        self.name, self.argv, self.log = name, argv, log
        self.proc = None
        self.frozen = False

    def start(self):
        with open(self.log, "ab") as out:
            self.proc = subprocess.Popen(
                self.argv, stdout=out, stderr=out,
                stdin=subprocess.DEVNULL, cwd=ROOT)
        self.frozen = False

    @property
    def pid(self):
        return self.proc.pid

    def alive(self):
        return self.proc is not None and self.proc.poll() is None

    def signal(self, sig):
        if self.alive():
            self.proc.send_signal(sig)

    def kill(self):
        """Kill the process at once, as the loss of its VM does."""
        self.signal(signal.SIGKILL)
        if self.proc:
            self.proc.wait(10)
        self.frozen = False

    def freeze(self):
        self.frozen = True
        self.signal(signal.SIGSTOP)

    def thaw(self):
        self.frozen = False
        self.signal(signal.SIGCONT)

    def stop(self, seconds=15.0):
        """Stop the process with SIGTERM; return the exit code."""
        if not self.alive():
            return self.proc.returncode if self.proc else None
        self.thaw()
        self.signal(signal.SIGTERM)
        return self.proc.wait(seconds)


class System:
    """Entries, control VMs, agents, and the stand-ins that they need."""

    def __init__(self, folder, entries=2, controls=3, engines=3, services=1,
                 build="build", engine_bytes=40 * GB, checks_fence=True,
                 token_ms=5, store_mbps=20000, models=None, presets=None,
                 log_level="info", snapshot_entries=2000, domains=None,
                 listen_via=None, receive_ms=10000, spare_ports=0):
        self.folder = os.path.abspath(folder)
        shutil.rmtree(self.folder, ignore_errors=True)
        os.makedirs(self.folder)
        self.build = os.path.join(ROOT, build)
        self.models = MODELS if models is None else models
        self.presets = PRESETS if presets is None else presets
        self.domains = domains or ["hall-a", "hall-b", "hall-tr", "hall-pe"]
        self.log_level = log_level
        self.snapshot_entries = snapshot_entries
        self.receive_ms = receive_ms
        self.procs = {}
        self.addr = {}
        new_addr = lambda: "127.0.0.1:%d" % free_port()
        self.spare = [new_addr() for _ in range(spare_ports)]
        self.entries = ["entry-%d" % (i + 1) for i in range(entries)]
        self.controls = ["ctl-%d" % (i + 1) for i in range(controls)]
        self.engines = ["engine-%d" % (i + 1) for i in range(engines)]
        self.services = ["service-%d" % (i + 1) for i in range(services)]
        self.frame = {c: new_addr() for c in self.controls}
        self.operator = {c: new_addr() for c in self.controls}
        self.store, self.platform = new_addr(), new_addr()
        self.token = os.path.join(self.folder, "token")
        with open(self.token, "w") as f:
            f.write("demo-token\n")
        self._write_models()
        # listen_via: name of an agent -> function that puts a test's relay in
        # front of its address and returns that of the relay.
        self.listen_via = listen_via or {}
        self._standin("store", self.store, "store",
                      "--store-mbps", str(store_mbps))
        names = ["agent-" + e for e in self.engines + self.services]
        self._standin("platform", self.platform, "platform",
                      "--vms", ",".join(names))
        for e in self.engines:
            self.addr[e] = new_addr()
            args = ["--bytes", str(engine_bytes), "--store", self.store,
                    "--token-ms", str(token_ms)]
            if checks_fence:
                args.append("--checks-fence")
            self._standin(e, self.addr[e], "engine", *args)
            self._agent(e, new_addr(), new_addr(), "engine", "lm-pool")
        for s in self.services:
            self.addr[s] = new_addr()
            self._standin(s, self.addr[s], "service")
            self._agent(s, new_addr(), new_addr(), "service", "portal-web")
        for c in self.controls:
            self._control(c)
        for e in self.entries:
            self.addr[e] = new_addr()
            self._entry(e)

    def _path(self, name):
        return os.path.join(self.folder, name)

    def journal(self, name):
        return self._path(name + ".journal")

    def _write_models(self):
        with open(self._path("models.json"), "w") as f:
            json.dump({"models": self.models}, f, indent=1)
        os.makedirs(self._path("presets"))
        for name, body in self.presets.items():
            with open(self._path("presets/%s.json" % name), "w") as f:
                json.dump(body, f, indent=1)

    def _add(self, name, argv):
        self.procs[name] = Process(name, argv, self._path(name + ".log"))

    def _standin(self, name, listen, part, *args):
        self._add(name, [os.path.join(self.build, "standin"), part,
                         "--listen", listen, "--mark", MARK,
                         "--journal", self.journal(name)] + list(args))

    def _daemon(self, name, settings):
        file = self._path(name + ".json")
        settings = dict({"name": name, "log_level": self.log_level,
                         "control": list(self.frame.values())}, **settings)
        with open(file, "w") as f:
            json.dump(settings, f, indent=1)
        self._add(name, [os.path.join(self.build, "sapphireshiftd"), file])

    def _domain(self, i):
        return self.domains[i % len(self.domains)]

    def _agent(self, endpoint, listen, status, kind, pool):
        name = "agent-" + endpoint
        self.addr[name] = listen
        self.addr[name + "-status"] = status
        settings = {
            "role": "agent", "listen": listen, "status_listen": status,
            "domain": self._domain(len(self.procs)),
            "agent": {"kind": kind, "pool": pool, "slots": 64,
                      "endpoint": self.addr[endpoint]}}
        if name in self.listen_via:
            settings["advertise"] = self.listen_via[name](listen)
        self._daemon(name, settings)

    def _control(self, name):
        self._daemon(name, {
            "role": "control", "listen": self.frame[name],
            "domain": self._domain(self.controls.index(name)),
            "control_vm": {
                "data": self._path(name + ".data"),
                "operator_listen": self.operator[name],
                "token_file": self.token, "platform": self.platform,
                "models_file": self._path("models.json"),
                "presets_dir": self._path("presets"),
                "first_preset": sorted(self.presets)[1]
                if "ordinary" not in self.presets else "ordinary",
                "snapshot_entries": self.snapshot_entries}})

    def _entry(self, name):
        self._daemon(name, {
            "role": "entry", "domain": self._domain(
                self.entries.index(name)),
            "entry": {
                "listen": self.addr[name], "drain_ms": 300,
                "receive_ms": self.receive_ms,
                "rules": {
                    "chat": {"path": "/v1/", "repeatable": True},
                    "read": {"method": "GET", "path": "/svc/portal-web/seats",
                             "repeatable": True}}}})

    def bootstrap(self):
        argv = self.procs[self.controls[0]].argv
        subprocess.run([argv[0], "--bootstrap", argv[1]], check=True,
                       stdout=subprocess.DEVNULL)

    def start(self, ready=True):
        self.bootstrap()
        for p in self.procs.values():
            p.start()
        if ready:
            self.wait_ready()

    def wait_ready(self, seconds=20.0):
        wait_for(self.leader, seconds, why="a leader")
        for e in self.entries:
            wait_for(lambda: self.is_ready(self.addr[e]), seconds,
                     why=e + " ready")
        wait_for(lambda: len(self.status().get("nodes", [])) ==
                 len(self.engines) + len(self.services), seconds,
                 why="all endpoints registered")
        wait_for(lambda: sum(m["voter"] for m in
                             self.status().get("members", [])) ==
                 len(self.controls), seconds, why="all control VMs joined")

    def is_ready(self, addr):
        try:
            return request(addr, "GET", "/readyz", timeout=2)[0] == 200
        except OSError:
            return False

    def operate(self, method, path, body=None, control=None, timeout=3.0):
        """Call the operators' API: (status, JSON), or (0, None)."""
        names = [control] if control else self.controls
        last = (0, None)
        for c in names:
            if not control and self.procs[c].frozen:
                continue
            try:
                status, _, data = request(
                    self.operator[c], method, path, body,
                    {"Authorization": "Bearer demo-token"}, timeout)
                last = status, json.loads(data)
                if status != 503:
                    return last
            except (OSError, ValueError, http.client.HTTPException):
                continue
        return last

    def status(self):
        code, body = self.operate("GET", "/v1/status")
        return body if code == 200 else {}

    def leader(self):
        """Return the leader, confirmed as such by a majority, or None."""
        for c in self.controls:
            if not self.procs[c].alive() or self.procs[c].frozen:
                continue
            code, body = self.operate("GET", "/v1/status", control=c,
                                      timeout=1.0)
            if code == 200:
                return c
        return None

    def ctl(self, *args, check=True):
        argv = [os.path.join(self.build, "sapphireshiftctl"),
                "-o", ",".join(self.operator.values()),
                "-t", self.token] + list(args)
        p = subprocess.run(argv, stdout=subprocess.PIPE,
                           stderr=subprocess.PIPE, timeout=60)
        if check and p.returncode:
            raise RuntimeError(p.stderr.decode())
        return p.returncode, p.stdout.decode(), p.stderr.decode()

    def events(self, name):
        """Return the events of a stand-in's journal."""
        try:
            with open(self.journal(name)) as f:
                return [json.loads(line) for line in f if line.endswith("\n")]
        except FileNotFoundError:
            return []

    def stop(self):
        """Stop all with SIGTERM; return whether every daemon exited with 0."""
        clean = True
        order = self.entries + ["agent-" + e for e in
                                self.engines + self.services] + self.controls
        for name in order:
            try:
                clean &= self.procs[name].stop() == 0
            except subprocess.TimeoutExpired:
                clean = False
                self.procs[name].kill()
        self.kill()
        return clean

    def kill(self):
        for p in self.procs.values():
            if p.alive():
                p.kill()
        release_ports()
