"""What a non-blocking TCP socket tells of its peer without reading from it."""

from __future__ import annotations

import socket


def peek(sock: socket.socket) -> bytes | None:
    """Return one byte that waits in the socket, b"" at end of stream, or None if nothing waits; raises OSError."""
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
