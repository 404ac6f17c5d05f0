"""The processes of a fleet on loopback, with stand-ins for its endpoints."""
import asyncio
import json
import os
import random
import signal
import subprocess
import tempfile
import time

from link_proxy import Proxy, ProxyProcess, RemoteProxy
from standin import (ADAPTER_SLOTS, MEMORY_MB, MODELS, STEP, Engine, Listing,
                     Web, World)
from ports import free_port, release_ports

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
CONTROLS = 4
RELAYS = 3           # control VMs without a disk or a vote
ENTRIES, ENGINES, WEBS = 3, 4, 2    # defaults of a small fleet
# Time for handlers of stand-ins to end by themselves, and the interval at which
# other tasks are cancelled.
HANDLERS_END_S, CANCEL_INTERVAL_S = 2.0, 0.2
# Processes whose links to control VMs one proxy process carries.
LINKED_PROCESSES = 50
ZONES = ["za", "zb"]
GRACE_MS = 4000      # grace time of an entry's planned stop
# Retry budget: a ratio of the requests, plus a number of requests.
RETRY_RATIO, RETRY_SLACK = 0.1, 20
# Tolerance by which a customer's limit may be exceeded in a window.
QUOTA_SLACK = {"quota_window_s": 4.0, "quota_overage": 0.1,
               "quota_extra": 400}
# Maximum time from SIGTERM to the exit of a process without a fault. A control
# VM transfers its leadership first.
STOP_BOUND_S = {"entry": GRACE_MS / 1000 + 0.5, "agent": 2.0, "control": 8.0,
                "relay": 2.0}


class Process:
    """A daemon process of the fleet; signals go to its process id."""

    def __init__(self, name, argv, log, world):
        self.name, self.argv, self.log = name, argv, log
        self.world = world
        self.role = name.split("-")[0]
        self.proc = None
        self.starts = 0
        self.log_offset = 0  # where the log of the current start begins
        # Serializes overlapping faults that restart the process.
        self.restart_lock = asyncio.Lock()

    def start(self):
        self.starts += 1
        with open(self.log, "ab") as out:
            self.log_offset = out.tell()
            self.proc = subprocess.Popen(self.argv, stdout=out, stderr=out,
                                         stdin=subprocess.DEVNULL, cwd=ROOT)

    def runs(self):
        return self.proc is not None and self.proc.poll() is None

    def send(self, sig):
        if self.runs():
            self.proc.send_signal(sig)

    def check_runs(self):
        """Checks that the process has not exited by itself."""
        if self.proc and not self.runs():
            self.world.violations.append("%s ended by itself: %d" % (
                self.name, self.proc.returncode))

    async def wait_exit(self, seconds=None):
        """Waits for the process to exit; returns False after the timeout."""
        end = time.monotonic() + (seconds or 1e9)
        while self.runs():
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.01)
        return True

    async def end(self, sig=signal.SIGKILL):
        """Sends the signal, also to a frozen process, and waits for its exit.
        """
        self.send(signal.SIGCONT)
        self.send(sig)
        await self.wait_exit()

    def has_started(self):
        with open(self.log, "rb") as f:
            f.seek(self.log_offset)
            return b"event=start " in f.read()

    async def stop_gracefully(self):
        """Sends SIGTERM and checks that the process exits in time, with status
        0.
        """
        self.check_runs()
        start = time.monotonic()
        bound = STOP_BOUND_S[self.role] + self.world.lag
        self.send(signal.SIGTERM)
        in_time = await self.wait_exit(bound)
        if not self.world.journal.harmed(self.name, start, time.monotonic()):
            if not in_time:
                self.world.violations.append(
                    "%s: its planned stop takes more than %.1f s" % (
                        self.name, bound))
            elif self.proc.returncode == -signal.SIGTERM and \
                    not self.has_started():
                pass  # not serving yet, and without a signal handler
            elif self.proc.returncode:
                self.world.violations.append(
                    "%s: its planned stop ends with %d" % (
                        self.name, self.proc.returncode))
        if self.runs():
            self.world.journal.note(self.name, "kill")
        await self.end()


async def end_others():
    """Waits for the end of all other tasks, and cancels those that go on.

    A wait with a timeout that is over at that moment swallows a cancellation
    (before Python 3.12), and a loop of callers goes on then: it is cancelled
    again.
    """
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    timeout = HANDLERS_END_S
    while tasks:
        _, tasks = await asyncio.wait(tasks, timeout=timeout)
        timeout = CANCEL_INTERVAL_S
        for t in tasks:
            t.cancel()


class Fleet:
    """All processes and stand-ins of one run."""

    def __init__(self, seed, daemon, entries=ENTRIES, engines=ENGINES,
                 relays=RELAYS):
        self.rng = random.Random(seed)
        self.daemon = daemon
        self.world = World()
        self.journal = self.world.journal
        self.folder = tempfile.mkdtemp(prefix="soak-")
        self.procs = {}
        self.engines = [Engine(self.world, "engine-%d" % i, "lm",
                               ZONES[i % 2]) for i in range(engines)]
        self.webs = [Web(self.world, "web-%d" % i, "web", ZONES[i % 2])
                     for i in range(WEBS + entries // 8)]
        self.servers = self.engines + self.webs
        self.frame_port, self.operator_port = free_port(), free_port()
        self.proxies = []
        self.proxy_processes = [
            ProxyProcess() for _ in range(1 + (entries + engines) //
                                          LINKED_PROCESSES)]
        self.process_settings = {}   # process name -> settings
        self.seeds = self.control_addrs()
        self.n_entries, self.n_relays = entries, relays
        self.entries = {}    # entry name -> address for callers
        self.resuming_callers = []
        # Streams judged: (resume tried, resumed, new, begun).
        self.resume_counts = (0, 0, 0, 0)

    def draw_speeds(self, rng):
        """Draws the engines' speeds; in half of the runs one is far slower."""
        for e in self.engines:
            e.step = STEP * rng.choice([0.5, 1, 1, 2])
        if rng.random() < 0.5:
            rng.choice(self.engines).step = STEP * 5

    def of_role(self, role):
        return [p for p in self.procs.values() if p.role == role]

    def of_zone(self, zone):
        return [p for p in self.procs.values()
                if self.zone(int(p.name.split("-")[1])) == zone]

    @staticmethod
    def zone(i):
        return ZONES[i % 2]

    def proxies_of(self, names):
        return [p for p in self.proxies if p.name in names]

    def loads_per_s(self):
        """Returns the rate limit of loads from the store, low enough to take
        effect.
        """
        return max(1, len(self.engines) // 7)

    def check_processes(self):
        for p in self.procs.values():
            p.check_runs()

    # Starting.

    def control_ip(self, i, proxied=True):
        return "127.0.%d.%d" % (1 if proxied else 0, 10 + i)

    def control_addrs(self, n=3):
        return ["%s:%d" % (self.control_ip(i), self.frame_port)
                for i in range(n)]

    def relay_addrs(self):
        return ["%s:%d" % (self.control_ip(i), self.frame_port)
                for i in range(CONTROLS, CONTROLS + self.n_relays)]

    def operator_addrs(self):
        """Returns the operator addresses of all control VMs, members and
        relays.
        """
        return ["%s:%d" % (self.control_ip(i), self.operator_port)
                for i in range(CONTROLS + self.n_relays)]

    def exchange_seeds(self, addrs):
        """Replaces the control addresses in all settings files."""
        self.seeds = list(addrs)
        for name, settings in self.process_settings.items():
            settings["control"] = self.seeds
            self.write_settings(name)

    def write_settings(self, name):
        """Writes settings atomically, as a process may be reading them."""
        path = self.settings_path(name)
        with open(path + ".new", "w") as f:
            json.dump(self.process_settings[name], f)
        os.replace(path + ".new", path)
        return path

    def settings_path(self, name):
        return os.path.join(self.folder, name + ".json")

    def settings(self, name, role, listen, **more):
        i = int(name.split("-")[1])
        s = {"role": role, "name": name, "domain": self.zone(i),
             "listen": listen, "control": self.seeds}
        s.update(more)
        s["fleet"] = dict(more.get("fleet", {}), on=True)
        self.process_settings[name] = s
        return self.write_settings(name)

    def add(self, name, path):
        self.procs[name] = Process(name, [self.daemon, path], os.path.join(
            self.folder, name + ".log"), self.world)

    def data_dir(self, i):
        return os.path.join(self.folder, "data-%d" % i)

    def control_settings(self, i, first, proxied=True):
        own = self.control_ip(i, False)
        return self.settings(
            "control-%d" % i, "control", "%s:%d" % (own, self.frame_port),
            advertise="%s:%d" % (self.control_ip(i, proxied),
                                 self.frame_port),
            control_vm={"data": self.data_dir(i), "found_group": first},
            fleet={**QUOTA_SLACK,
                   "operator_listen": "%s:%d" % (own, self.operator_port),
                   "vm_list": self.listing.addr})

    def relay_settings(self, i):
        own = self.control_ip(i, False)
        return self.settings(
            "relay-%d" % i, "control", "%s:%d" % (own, self.frame_port),
            advertise="%s:%d" % (self.control_ip(i), self.frame_port),
            control_vm={"data": ""},
            fleet={"operator_listen": "%s:%d" % (own, self.operator_port),
                   "vm_list": self.listing.addr})

    async def start_proxies(self):
        for process in self.proxy_processes:
            await process.start()
        for i in range(CONTROLS + self.n_relays):
            name = ("control-%d" if i < CONTROLS else "relay-%d") % i
            process = self.proxy_processes[i % len(self.proxy_processes)]
            for port in (self.frame_port, self.operator_port):
                p = RemoteProxy(process, name, self.control_ip(i), port,
                                "%s:%d" % (self.control_ip(i, False), port))
                await p.start()
                self.proxies.append(p)
        for s in self.servers:
            p = Proxy(s.name, "127.0.0.1", free_port(), s.addr)
            await p.start()
            s.listed = "127.0.0.1:%d" % p.port
            s.proxy = p
            self.proxies.append(p)

    def add_agents(self):
        for i, e in enumerate(self.engines):
            # The agent uses the address of its endpoint in the VM list, so
            # that its traffic passes through the same proxy.
            self.add("agent-%d" % i, self.settings(
                "agent-%d" % i, "agent", "127.0.0.1:%d" % free_port(),
                fleet={"endpoint": e.listed, "holder": "vm-%d" % i}))

    def add_entries(self):
        for i in range(self.n_entries):
            name = "entry-%d" % i
            self.entries[name] = "127.0.0.1:%d" % free_port()
            self.add(name, self.settings(
                name, "entry", "127.0.0.1:%d" % free_port(),
                fleet={"listen": self.entries[name],
                       "ready_listen": "127.0.0.1:%d" % free_port(),
                       "vm_list": self.listing.addr,
                       "grace_s": GRACE_MS / 1000,
                       "retry_ratio": RETRY_RATIO,
                       "retry_slack": RETRY_SLACK}))

    async def start(self):
        for s in self.servers:
            await s.start()
        await self.start_proxies()
        self.listing = Listing(self.servers)
        await self.listing.start()
        for i in range(CONTROLS):
            self.add("control-%d" % i, self.control_settings(i, True))
        for i in range(CONTROLS, CONTROLS + self.n_relays):
            self.add("relay-%d" % i, self.relay_settings(i))
        self.add_agents()
        self.add_entries()
        for p in self.procs.values():
            p.start()

    async def stop(self):
        for p in self.procs.values():
            p.send(signal.SIGKILL)
        for p in self.procs.values():
            await p.end()
        # Close all listeners before their ports are given out again.
        for x in self.proxies + self.servers:
            if x.server:
                x.server.close()
        for process in self.proxy_processes:
            await process.end()
        await end_others()
        release_ports()


def engine_parts(loads_per_s):
    """Returns the engine section of a routing's service."""
    models = [{"name": m, "weightsMb": mb, "loadS": 0.6, "diskLoadS": 0.1,
               "warmS": 0.1, "adapters": 4, "adapterMb": 1}
              for m, mb in MODELS.items()]
    return {"slots": 8, "weightsMb": MEMORY_MB, "adapterSlots": ADAPTER_SLOTS,
            "loadPerS": loads_per_s, "models": models}
