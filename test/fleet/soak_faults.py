"""Injected faults of a run; they come in series and overlap.

The seed determines which families of faults a run has, when each fault comes,
and all its parameters.
"""
import asyncio
import os
import random
import resource
import shutil
import signal
import time

from soak_fleet import CONTROLS, ZONES
from soak_outage import outage
from soak_parts import WRITTEN_BEFORE_CRASH, PromptSender
from soak_poison import PoisonSender
from soak_slices import slow_control_vms
from soak_slow_engines import slow_first_events
from soak_versions import roll_out
from soak_signals import request_backoffs, state_rate_limits
from link_proxy import TO_CLIENT, TO_SERVER

DRAIN_BOUND_S = 3.0  # until a draining endpoint gets no new work
# A wiped control VM counts as replaced once the group has removed it and its
# spare votes. Three voters don't tolerate a second lost disk before that.
JOINED = "event=joined"
DROPPED = "event=drop_member "
SLOWDOWN = 5         # factor by which an engine slows down


def files_in(folder):
    return [os.path.join(at, name) for at, _, names in os.walk(folder)
            for name in names]


class Faults:
    """The faults of one run; FAMILIES names the methods that inject one."""

    def __init__(self, fleet, seed, only=()):
        self.f, self.journal = fleet, fleet.journal
        self.rng, self.seed = random.Random(seed), seed
        self.wiping = False
        self.log = []
        names = sorted(FAMILIES)
        # Some runs have all families, others few, so that fewer faults excuse
        # violations.
        n = self.rng.choice([2, 3, 5, len(names)])
        self.kinds = [kind for name in only or self.rng.sample(names, n)
                      for kind in FAMILIES[name]]

    def pick_processes(self, rng, role):
        """Draws one, two or all processes of a role."""
        procs = self.f.of_role(role)
        n = rng.choice([1, 1, 2, len(procs)])
        return rng.sample(procs, min(n, len(procs)))

    # Processes.

    async def kill(self, p, pause):
        async with p.restart_lock:
            p.check_runs()
            with self.journal.span(p.name, "kill"):
                await p.end()
                await asyncio.sleep(pause)
                p.start()

    async def stop(self, p, pause, during=None):
        """Stops a process as planned; during: an action while it stops."""
        async with p.restart_lock:
            with self.journal.span(p.name, "stop", planned=True):
                task = asyncio.ensure_future(during(p)) if during else None
                await p.stop_gracefully()
                if task:
                    await task
                await asyncio.sleep(pause)
                p.start()

    async def freeze(self, p, seconds):
        with self.journal.span(p.name, "freeze"):
            p.send(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            p.send(signal.SIGCONT)

    async def run_for_each(self, what, procs, rng):
        await asyncio.gather(*[what(p, rng.uniform(0, 0.5)) for p in procs])

    async def kill_some(self, rng, role):
        await self.run_for_each(self.kill, self.pick_processes(rng, role), rng)

    async def freeze_some(self, rng, role):
        await asyncio.gather(*[self.freeze(p, rng.uniform(0.3, 3))
                               for p in self.pick_processes(rng, role)])

    async def stop_at_once(self, rng, role):
        await self.run_for_each(self.stop, self.pick_processes(rng, role), rng)

    async def stop_in_turn(self, rng, role):
        procs = self.f.of_role(role)
        for p in rng.sample(procs, min(3, len(procs))):
            await self.stop(p, rng.uniform(0, 0.3))

    async def stop_twice(self, rng, role):
        async def second_signal(p):
            await asyncio.sleep(rng.uniform(0, 1.5))
            p.send(signal.SIGTERM)

        await self.stop(rng.choice(self.f.of_role(role)), 0.1, second_signal)

    async def kill_in_stop(self, rng, role):
        async def kill_later(p):
            await asyncio.sleep(rng.uniform(0, 3))
            if p.runs():
                self.journal.note(p.name, "kill")
                p.send(signal.SIGKILL)

        await self.stop(rng.choice(self.f.of_role(role)), 0.1, kill_later)

    async def freeze_over_stop(self, rng, role):
        async def freeze_it(p):
            await self.freeze(p, rng.uniform(0.3, 4))

        await self.stop(rng.choice(self.f.of_role(role)), 0.1, freeze_it)

    async def wipe(self, rng):
        """Deletes the disk of a control VM, which then joins again."""
        if self.wiping:
            return
        self.wiping = True
        i = rng.randrange(CONTROLS)
        p = self.f.procs["control-%d" % i]
        dropped = self.log_count(DROPPED)
        async with p.restart_lock:
            joined = self.log_count(JOINED, p.name)
            with self.journal.span(p.name, "wipe"):
                await p.end()
                shutil.rmtree(self.f.data_dir(i))
                self.f.control_settings(i, False)
                p.start()
        end = time.monotonic() + 20
        while time.monotonic() < end:
            if self.log_count(JOINED, p.name) > joined and \
                    self.log_count(DROPPED) > dropped:
                self.wiping = False
                return
            await asyncio.sleep(0.2)

    async def disk_full(self, rng):
        """Limits the file size of a control VM, which dies in the middle of a
        record.

        The limit is just above the largest file, the process log included, so
        that the VM dies within a few lines of that log at the latest.
        """
        i = rng.randrange(CONTROLS)
        p = self.f.procs["control-%d" % i]
        async with p.restart_lock:
            p.check_runs()
            with self.journal.span(p.name, "disk full"):
                largest = max(
                    os.path.getsize(f)
                    for f in [p.log, *files_in(self.f.data_dir(i))])
                limit = largest + rng.randrange(1, 2000)
                resource.prlimit(p.proc.pid, resource.RLIMIT_FSIZE,
                                 (limit, limit))
                await p.wait_exit(5.0)
                await p.end()
                p.start()

    def log_count(self, text, name=None):
        """Returns how often the logs of all control VMs, or of one process,
        have the text.
        """
        names = [name] if name else [
            p.name for p in self.f.of_role("control")]
        n = 0
        for name in names:
            with open(os.path.join(self.f.folder, name + ".log")) as log:
                n += log.read().count(text)
        return n

    # Settings.

    async def hang_up(self, rng, role):
        """Sends SIGHUP after rewriting the settings, either unchanged or
        invalid. Valid ones are restored before the process can be restarted.
        """
        p = rng.choice(self.f.of_role(role))
        path = self.f.settings_path(p.name)
        async with p.restart_lock:
            # Before its start event the process has no signal handler, and
            # SIGHUP kills it.
            while p.runs() and not p.has_started():
                await asyncio.sleep(0.02)
            with open(path) as f:
                good = f.read()
            with open(path, "w") as f:
                f.write(rng.choice([good + "\n", "{", "", '{"role": 3}']))
            p.send(signal.SIGHUP)
            await asyncio.sleep(rng.uniform(0, 1))
            with open(path, "w") as f:
                f.write(good)
            p.send(signal.SIGHUP)

    # Endpoints.

    async def crash(self, rng, s=None):
        s = s or rng.choice(self.f.servers)
        async with s.restart_lock:
            with self.journal.span(s.name, "crash"):
                await s.crash()
                await asyncio.sleep(rng.uniform(0.3, 1.5))
                if rng.random() < 0.5:
                    s.disk.clear()
                await s.start()

    async def lose(self, rng):
        """Loses the next one to three answers of an endpoint."""
        rng.choice(self.f.servers).answers_to_lose += rng.randrange(1, 4)

    async def silent(self, rng):
        """Makes an endpoint accept requests without answering them."""
        s = rng.choice(self.f.servers)
        with self.journal.span(s.name, "silence"):
            s.silent = True
            await asyncio.sleep(rng.uniform(0.3, 2))
            s.silent = False

    async def slow(self, rng):
        """Slows down an engine for some seconds, running streams included."""
        e = rng.choice(self.f.engines)
        async with e.restart_lock:
            step = e.step
            e.step *= SLOWDOWN
            self.journal.note(e.name, "slower")
            await asyncio.sleep(rng.uniform(1, 5))
            e.step = step

    async def leave(self, rng):
        """Drains an endpoint, stops it, and starts it again."""
        s = rng.choice(self.f.servers)
        async with s.restart_lock:
            s.start_draining()
            await asyncio.sleep(DRAIN_BOUND_S + rng.uniform(0.5, 4))
            with self.journal.span(s.name, "gone"):
                await s.crash()
                await asyncio.sleep(rng.uniform(0, 0.5))
                await s.start()

    # Links.

    async def link(self, rng, how, p=None):
        p = p or rng.choice(self.f.proxies)
        with self.journal.span(p.name, "link " + how):
            await getattr(self, "link_" + how)(rng, p)

    async def link_delay(self, rng, p):
        p.set_delay(rng.uniform(0.01, 0.2))
        await asyncio.sleep(1)
        p.set_delay(0.0)

    async def link_refuse(self, rng, p):
        p.set_refuse(True)
        p.reset()
        await asyncio.sleep(rng.uniform(0.3, 2))
        p.set_refuse(False)

    async def link_reset(self, _rng, p):
        p.reset()

    async def link_silence(self, _rng, p):
        """Silences the open connections, which only a timeout detects."""
        p.silence(TO_SERVER, TO_CLIENT)
        await asyncio.sleep(3)

    async def link_one_way(self, rng, p):
        """Drops the bytes of one direction, also on new connections."""
        direction = rng.choice([TO_SERVER, TO_CLIENT])
        p.drop(direction, True)
        p.silence(direction)
        await asyncio.sleep(rng.uniform(0.5, 3))
        p.drop(direction, False)
        p.reset()

    # Correlated faults.

    async def zone_fails(self, rng):
        """Fails all processes, endpoints and links of a failure domain."""
        zone = rng.choice(ZONES)
        servers = [s for s in self.f.servers if s.zone == zone]
        links = self.f.proxies_of([s.name for s in servers])
        await asyncio.gather(
            self.run_for_each(self.kill, self.f.of_zone(zone), rng),
            *[self.crash(rng, s) for s in servers],
            *[self.link(rng, "refuse", p) for p in links])

    async def all_killed(self, rng):
        await self.run_for_each(self.kill, list(self.f.procs.values()), rng)

    async def all_stopped(self, rng):
        await self.run_for_each(self.stop, list(self.f.procs.values()), rng)

    async def exchange_seeds(self, seconds):
        """Replaces the control addresses in all settings by three random ones
        of members and relays, up to twice; mostly all processes are killed
        after that.

        A separate generator keeps the schedules of older seeds unchanged.
        """
        rng = random.Random("seeds %d" % self.seed)
        addrs = self.f.control_addrs(CONTROLS) + self.f.relay_addrs()
        for _ in range(rng.randrange(0, 3) if self.f.n_relays else 0):
            await asyncio.sleep(rng.uniform(0, seconds / 2))
            self.f.exchange_seeds(rng.sample(addrs, 3))
            self.log.append("%s exchange_seeds" % self.journal.at(
                time.monotonic()))
            if rng.random() < 0.7:
                await asyncio.sleep(rng.uniform(0, 1))
                await self.all_killed(rng)

    async def poison(self, seconds):
        """Sends requests that crash their endpoint to all entries,
        concurrently with all other faults.

        A separate generator keeps the schedules of older seeds unchanged;
        REGRESSIONS run without poison requests.
        """
        rng = random.Random("poison %d" % self.seed)
        if not self.f.n_relays:
            return
        senders = []
        for i in range(rng.randrange(0, 3)):
            path, model = rng.choice([("/chat/", "m0"), ("/night/", "m1"),
                                      ("/safe/", ""), ("/once/", "")])
            headers = {"X_Model": model} if model else {"X_Work_Ms": 20}
            senders.append(PoisonSender(
                self.f, "p%d" % i, path, rng.uniform(0.1, 1.0), **headers))
            self.log.append("poison at %s" % path)
        loops = [asyncio.ensure_future(s.loop()) for s in senders]
        await asyncio.sleep(seconds)
        for s in senders:
            s.on = False
        await asyncio.gather(*loops)

    async def poison_parts(self, seconds):
        """Sends prompts that share parts to all entries, some of them with a
        part that crashes their endpoint, concurrently with all other faults.

        A separate generator keeps the schedules of older seeds unchanged;
        REGRESSIONS run without poison parts.
        """
        rng = random.Random("parts %d" % self.seed)
        if not self.f.n_relays or rng.random() < 0.5:
            return
        shared = ["aa%06x" % i for i in range(rng.randrange(1, 4))]
        bad = list(shared)
        bad.insert(rng.randrange(0, len(bad) + 1), "bad%05x" % self.seed)
        part = next(p for p in bad if p not in shared)
        self.f.world.poison_parts[part] = rng.choice(WRITTEN_BEFORE_CRASH)
        senders = [PromptSender(self.f, "sound-part", shared,
                                interval_s=0.2),
                   PromptSender(self.f, "bad-part", bad,
                                interval_s=rng.uniform(0.2, 1.0))]
        self.log.append("poison part at place %d" % bad.index(part))
        loops = [asyncio.ensure_future(s.loop()) for s in senders]
        await asyncio.sleep(seconds)
        for s in senders:
            s.on = False
        await asyncio.gather(*loops)

    async def run(self, seconds):
        tasks = [asyncio.ensure_future(self.exchange_seeds(seconds)),
                 asyncio.ensure_future(self.poison(seconds)),
                 asyncio.ensure_future(self.poison_parts(seconds)),
                 asyncio.ensure_future(state_rate_limits(self, seconds)),
                 asyncio.ensure_future(request_backoffs(self, seconds)),
                 asyncio.ensure_future(roll_out(self, seconds)),
                 asyncio.ensure_future(slow_first_events(self, seconds)),
                 asyncio.ensure_future(outage(self, seconds)),
                 asyncio.ensure_future(slow_control_vms(self, seconds))]
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            kind = self.rng.choice(self.kinds)
            self.log.append("%s %s" % (self.journal.at(time.monotonic()),
                                       " ".join(kind)))
            rng = random.Random(self.rng.random())
            tasks.append(asyncio.ensure_future(
                getattr(self, kind[0])(rng, *kind[1:])))
            await asyncio.sleep(self.rng.uniform(0.1, 1.2))
        await asyncio.gather(*tasks)


FAMILIES = {
    "entries stop": [("stop_at_once", "entry"), ("stop_in_turn", "entry"),
                     ("stop_twice", "entry"), ("kill_in_stop", "entry"),
                     ("freeze_over_stop", "entry")],
    "agents stop": [("stop_at_once", "agent"), ("stop_in_turn", "agent"),
                    ("kill_in_stop", "agent"),
                    ("freeze_over_stop", "agent")],
    "control stops": [("stop_at_once", "control"),
                      ("stop_in_turn", "control"),
                      ("stop_twice", "control"),
                      ("kill_in_stop", "control"),
                      ("freeze_over_stop", "control")],
    "entries fail": [("kill_some", "entry"), ("freeze_some", "entry")],
    "agents fail": [("kill_some", "agent"), ("freeze_some", "agent")],
    "control fails": [("kill_some", "control"), ("freeze_some", "control"),
                      ("wipe",), ("disk_full",)],
    "settings": [("hang_up", "entry"), ("hang_up", "agent"),
                 ("hang_up", "control")],
    "endpoints fail": [("crash",), ("lose",), ("silent",)],
    "endpoints slow down": [("slow",)],
    "endpoints leave": [("leave",)],
    "links": [("link", "delay"), ("link", "refuse"), ("link", "reset"),
              ("link", "silence"), ("link", "one_way")],
    "all at once": [("zone_fails",), ("all_killed",), ("all_stopped",)],
}
