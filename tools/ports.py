"""Ports on loopback that nobody else is given before they are listened on."""
import socket

_held = []


def free_ports_again():
    """Give back the ports of a run that is over."""
    while _held:
        _held.pop().close()


def free_port():
    """A port that stays ours: a bound socket that doesn't listen keeps the
    kernel from giving it to others before a process listens on it, and
    SO_REUSEADDR lets that process bind it all the same.
    """
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind(("127.0.0.1", 0))
    _held.append(s)
    return s.getsockname()[1]
