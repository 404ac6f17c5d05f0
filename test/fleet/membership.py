"""Scenarios of control VMs that are lost one after another."""
import asyncio
import shutil
import signal

from soak import RECOVERY_S, await_first_change, until
from soak_fleet import CONTROLS
from soak_http import http

# From a VM's return, or a successor's start, until the next loss.
CATCH_UP_S = 4.0
EMPTY_AFTER_S = 1.0  # from a loss for good until the successor starts
PLANNED_AFTER_S = 1.0  # from the successor's start until SIGTERM
DOWN_S = 0.5
RANDOM_LOSSES = 6
PROTOCOL = 2         # of the frames between processes
HELLO, PING = 1, 2   # kinds of frames
# From SIGTERM in a planned replacement until the next loss.
AFTER_SIGTERM_S = (0.0, 0.15, 0.35, 0.6)


def forget_disk(fleet, i):
    """Deletes the disk of control VM i, which must be down."""
    name = "control-%d" % i
    shutil.rmtree(fleet.data_dir(i))
    fleet.process_settings[name]["control_vm"]["found_group"] = False
    fleet.write_settings(name)


class Core:
    """The control VMs of a fleet, some of them successors of others."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.vms = list(range(CONTROLS))
        self.next = CONTROLS + fleet.n_relays
        # Operators know the present VMs.
        fleet.operator_addrs = lambda: [self.operator_addr(i)
                                        for i in self.vms]

    def process(self, i):
        return self.fleet.procs["control-%d" % i]

    def operator_addr(self, i):
        return "%s:%d" % (self.fleet.control_ip(i, False),
                          self.fleet.operator_port)

    def update_settings(self):
        """Names the present VMs in all settings, as the platform does: a
        successor finds the group by them.
        """
        self.fleet.exchange_seeds([
            "%s:%d" % (self.fleet.control_ip(i, i < CONTROLS),
                       self.fleet.frame_port) for i in self.vms])

    async def leader(self):
        """Returns the VM that answers a read itself, or None."""
        for i in self.vms:
            addr = self.operator_addr(i)
            try:
                status, _, _ = await asyncio.wait_for(
                    http(addr, "GET", "/sapphireshift/Config.Get"), 1.0)
            except (OSError, EOFError, asyncio.TimeoutError):
                continue
            if status == 200:
                return i
        return None

    async def await_leader(self):
        async def found():
            return await self.leader() is not None

        await until(found, RECOVERY_S, "nobody leads")
        return await self.leader()

    async def another(self):
        leader = await self.await_leader()
        return next(i for i in self.vms if i != leader)

    def add(self):
        """Starts an empty VM at a new address."""
        i, self.next = self.next, self.next + 1
        self.update_settings()
        self.fleet.add("control-%d" % i,
                       self.fleet.control_settings(i, False, proxied=False))
        self.process(i).start()
        self.vms.append(i)

    async def end(self, i, sig):
        await self.process(i).end(sig)
        self.vms.remove(i)
        self.update_settings()
        del self.fleet.procs["control-%d" % i]

    # Losses; each returns as it is made good.

    async def replace(self, i):
        await self.end(i, signal.SIGKILL)
        await asyncio.sleep(EMPTY_AFTER_S)
        self.add()

    async def replace_as_planned(self, i, after_s=PLANNED_AFTER_S):
        """Returns after_s and the stop's time later."""
        self.add()
        await asyncio.sleep(after_s)
        await self.end(i, signal.SIGTERM)

    async def restart(self, i, sig, down_s):
        await self.process(i).end(sig)
        await asyncio.sleep(down_s)
        self.process(i).start()

    async def lose_disk(self, i):
        await self.process(i).end(signal.SIGKILL)
        forget_disk(self.fleet, i)
        await asyncio.sleep(DOWN_S)
        self.process(i).start()

    async def freeze(self, i, seconds):
        self.process(i).send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.process(i).send(signal.SIGCONT)


async def await_spare(fleet):
    async def follows():
        with open(fleet.procs["control-3"].log) as f:
            return "event=role role=follower" in f.read()

    await until(follows, RECOVERY_S, "the fourth control VM never joined")


async def read_back(fleet, core, acked):
    async def read():
        return await fleet.operators.get() >= acked

    await core.await_leader()
    await until(read, RECOVERY_S, "the change isn't read back")


async def losses_in_a_row_are_borne(fleet):
    """Guards against a control group that never leads again, as voters that
    are gone still count when the next VM is lost.
    """
    await await_first_change(fleet.operators)
    await await_spare(fleet)
    acked, core = fleet.operators.acked, Core(fleet)
    await core.replace_as_planned(await core.another())
    await asyncio.sleep(CATCH_UP_S - PLANNED_AFTER_S)
    for lose, leads in ((core.replace, True), (core.lose_disk, False),
                        (core.replace, True), (core.lose_disk, True)):
        await lose(await (core.await_leader() if leads else core.another()))
        await asyncio.sleep(CATCH_UP_S)
        await read_back(fleet, core, acked)


async def loss_beside_a_planned_stop_is_borne(fleet):
    """Guards against a control group that never leads again, as a voter ends
    before its successor has its vote, and the next VM is lost then.

    SIGTERM comes when the successor has caught up; another VM is killed and
    loses its disk at different times after it.
    """
    await await_first_change(fleet.operators)
    await await_spare(fleet)
    acked, core = fleet.operators.acked, Core(fleet)
    # Three voters: the spare has taken the place of one of them.
    await core.end(await core.another(), signal.SIGKILL)
    for wait_s in AFTER_SIGTERM_S:
        await asyncio.sleep(CATCH_UP_S)
        leader = await core.await_leader()
        ending, lost = [i for i in core.vms if i != leader]
        stop = asyncio.ensure_future(
            core.replace_as_planned(ending, CATCH_UP_S))
        await asyncio.sleep(CATCH_UP_S + wait_s)
        await core.lose_disk(lost)
        await stop
        await read_back(fleet, core, acked)


async def random_losses_are_borne(fleet):
    """Guards against a control group that never leads again after single
    losses of any kind, each one as soon as the one before it is made good.
    """
    await await_first_change(fleet.operators)
    await await_spare(fleet)
    core, rng = Core(fleet), fleet.rng
    for _ in range(RANDOM_LOSSES):
        lose = rng.choice((
            core.replace, core.lose_disk,
            lambda i: core.replace_as_planned(i, rng.uniform(0.3, 6)),
            lambda i: core.freeze(i, rng.uniform(0.5, 5)),
            lambda i: core.restart(i, signal.SIGKILL, rng.uniform(0.1, 3)),
            lambda i: core.restart(i, signal.SIGTERM, rng.uniform(0, 1))))
        leader = await core.await_leader()
        i = leader if rng.random() < 0.5 else rng.choice(core.vms)
        await lose(i)
        await fleet.operators.put()
        await asyncio.sleep(CATCH_UP_S)
    await read_back(fleet, core, fleet.operators.acked)


def frame(body):
    return len(body).to_bytes(4, "big") + body


async def read_frame(reader):
    """Returns the kind of the next frame."""
    n = int.from_bytes(await reader.readexactly(4), "big")
    return (await reader.readexactly(n))[0]


async def vm_in_no_group_survives_a_planned_stop(fleet):
    """Guards against a control VM that crashes when a member sends it the notice
    of a planned stop: it led the group, and is back without its disk.
    """
    for p in fleet.of_role("control"):
        await p.end(signal.SIGKILL)
    forget_disk(fleet, 0)
    p = fleet.procs["control-0"]
    p.start()

    async def started():
        return p.has_started()

    await until(started, RECOVERY_S, "it doesn't start")
    reader, writer = await asyncio.open_connection(
        fleet.control_ip(0, False), fleet.frame_port)
    # A control VM's hello, then the notice of a planned stop of member 9.
    writer.write(frame(b"\x01\x84\x01%c\x03\x03\x04\xc4\x01x\x05\xc4\x01z" %
                       PROTOCOL))
    writer.write(frame(b"\x04\x84\x01\x09\x02\xc4\x01x\x03\xc4\x01a\x04\xc3"))
    try:
        kinds = [await read_frame(reader) for _ in range(2)]
    except (EOFError, ConnectionError):
        kinds = []
    assert kinds == [HELLO, PING] and p.runs(), "it ended: %s" % kinds
    writer.close()


# A seed with which the group lost its leader for good.
random_losses_are_borne.seed = 7

SCENARIOS = [losses_in_a_row_are_borne]
# At the end of all scenarios, whose seeds follow from their places.
LATER_SCENARIOS = [loss_beside_a_planned_stop_is_borne,
                   random_losses_are_borne,
                   vm_in_no_group_survives_a_planned_stop]
