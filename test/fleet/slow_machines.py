"""Scenario: control VMs that get little of a processor."""
import asyncio
import signal

from fleet_logs import log_has
from membership import Core, await_spare
from soak import RECOVERY_S, await_first_change, until
from soak_slices import in_slices

# Period of a process, and for how long of it the process is stopped: one runs
# less than a tick at a time.
SLICES = ((0.66, 0.6), (0.15, 0.137))
# How long the leader has to stay, and how often a VM may change its role from
# its start on: a few elections, not one in each round.
STEADY_S = 10.0
ROLE_LINES_MAX = 10


def roles(p):
    """Returns the roles that a process has logged since its start."""
    with open(p.log) as f:
        f.seek(p.log_offset)
        return [line.split(" role=")[1].split()[0] for line in f
                if " event=role " in line]


async def kill_in_slices(fleet, core, period_s, stopped_s):
    """Kills all control VMs, and checks the group that they form again."""
    procs = [core.process(i) for i in core.vms]
    async with in_slices(procs, fleet.rng, period_s, stopped_s):
        for p in procs:
            p.send(signal.SIGKILL)
        await asyncio.gather(*[p.end() for p in procs])
        for p in procs:
            p.start()

        async def changed():
            return await fleet.operators.put() == 200

        await until(changed, RECOVERY_S, "%d VMs: no change is acknowledged" %
                    len(procs))
        elected = [roles(p).count("leader") for p in procs]
        await asyncio.sleep(STEADY_S)
        assert elected == [roles(p).count("leader") for p in procs], \
            "%d VMs: the leader doesn't stay" % len(procs)
        most = max(len(roles(p)) for p in procs)
        assert most <= ROLE_LINES_MAX, "%d VMs: %d changes of role" % (
            len(procs), most)


async def slow_control_vms_elect_a_leader(fleet):
    """Guards against elections that never end, as answers come late."""
    await await_first_change(fleet.operators)
    await await_spare(fleet)
    core = Core(fleet)
    for period_s, stopped_s in SLICES:
        await kill_in_slices(fleet, core, period_s, stopped_s)
    core.add()

    async def all_vote():
        return any(log_has(fleet, p.name, "event=members voters=%d " %
                           len(core.vms)) for p in fleet.of_role("control"))

    await until(all_vote, RECOVERY_S, "the fifth VM never votes")
    await kill_in_slices(fleet, core, *SLICES[0])


SCENARIOS = [slow_control_vms_elect_a_leader]
