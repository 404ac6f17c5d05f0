"""Scenario: all machines lose power as a disk is lost."""
import asyncio
import os
import shutil
import signal

from soak import RECOVERY_S, await_first_change, until
from soak_fleet import CONTROLS


async def power_is_lost_by_all_as_a_disk_is_lost(fleet):
    """Guards against the loss of an acknowledged change, or of the whole
    system, when every process is killed at the moment a disk is lost.
    """
    await await_first_change(fleet.operators)
    acked = fleet.operators.acked
    for p in fleet.procs.values():
        p.send(signal.SIGKILL)
    await asyncio.gather(*[p.end() for p in fleet.procs.values()])
    lost = CONTROLS - 1
    shutil.rmtree(os.path.join(fleet.folder, "data-%d" % lost))
    fleet.control_settings(lost, False)
    for p in fleet.procs.values():
        p.start()

    async def read_back():
        return await fleet.operators.get() >= acked

    async def in_force():
        return all(await asyncio.gather(*[
            fleet.operators.probe_version(e, acked) for e in fleet.entries]))

    await until(read_back, RECOVERY_S, "the change isn't read back")
    await until(in_force, RECOVERY_S, "an entry doesn't apply it")


SCENARIOS = [power_is_lost_by_all_as_a_disk_is_lost]
