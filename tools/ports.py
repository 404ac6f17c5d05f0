"""Reserves ports on loopback until a process listens on them."""
import socket

_reserved = []


def release_ports():
    """Release all reserved ports at the end of a run."""
    while _reserved:
        _reserved.pop().close()


def free_port():
    """Reserve a port and return it.

    A bound socket that doesn't listen keeps the kernel from assigning the port
    to others, and SO_REUSEADDR lets a process bind it nevertheless.
    """
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind(("127.0.0.1", 0))
    _reserved.append(s)
    return s.getsockname()[1]
