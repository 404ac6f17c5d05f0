"""Queries of a running fleet: process logs and the current leader."""
import asyncio
import os

from soak_fleet import CONTROLS
from soak_http import http


def log_has(fleet, name, text):
    with open(os.path.join(fleet.folder, name + ".log")) as f:
        return text in f.read()


def log_search(fleet, name, pattern):
    with open(os.path.join(fleet.folder, name + ".log")) as f:
        return pattern.search(f.read()) is not None


def log_count(fleet, name, text):
    with open(os.path.join(fleet.folder, name + ".log")) as f:
        return f.read().count(text)


async def leader_of(fleet):
    """Returns the index of the control VM that answers a read without a
    redirect, or None.
    """
    for i in range(CONTROLS):
        addr = "%s:%d" % (fleet.control_ip(i), fleet.operator_port)
        try:
            status, _, _ = await asyncio.wait_for(
                http(addr, "GET", "/sapphireshift/Config.Get"), 2.0)
        except (OSError, EOFError, asyncio.TimeoutError):
            continue
        if status == 200:
            return i
    return None


def control_log_count(fleet, text):
    """Returns how often the text occurs in the logs of all control VMs."""
    return sum(log_count(fleet, "control-%d" % i, text)
               for i in range(CONTROLS))
