"""What a non-blocking TCP socket tells of its peer without reading from it."""

from __future__ import annotations

import socket

ESTABLISHED, CLOSE, CLOSE_WAIT, LAST_ACK = 1, 7, 8, 9  # of Linux's tcp_states.h


class SocketState:
    """The state of one connected socket."""

    def __init__(self, sock: socket.socket) -> None:
        self.socket = sock
        # Where sockets are not the kernel's own, a connected one may be CLOSE there from the start.
        self._is_told = self._tcp_state() in (ESTABLISHED, CLOSE_WAIT)

    def _tcp_state(self) -> int:
        """Return the state of the TCP connection; 0 if it is not told here."""
        try:
            return self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except (OSError, IndexError):
            return 0

    def peek(self) -> bytes | None:
        """Return a byte that waits in the socket, b"" at end of stream, or None if nothing waits; raises OSError."""
        try:
            return self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None

    def peer_has_closed(self) -> bool:
        """Whether the peer has closed or reset the connection, also while what it sent before waits to be read.

        Where the state is not told, the end of the stream tells it once all is read; raises OSError.
        """
        is_closed = self._is_told and self._tcp_state() in (CLOSE, CLOSE_WAIT, LAST_ACK)
        return is_closed or self.peek() == b""
