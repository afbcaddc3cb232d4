"""Opens TCP connections and logs each failed attempt as a `connection_end` event."""

from __future__ import annotations

import asyncio
import errno
import socket

from tornado.iostream import IOStream, StreamClosedError

from seamlb import log
from seamlb.net.address import address_family, split_address
from seamlb.net.close_reason import CloseReason
from seamlb.net.connection import MAX_UNREAD, MAX_UNSENT, READ_PER_TURN, Connection, next_ident

REASONS: dict[int | None, CloseReason] = {  # by error number; PEER_RESET for all others
    errno.ECONNREFUSED: CloseReason.REFUSED,
    errno.EADDRNOTAVAIL: CloseReason.LIMIT,  # no local port is left
}


class ConnectError(Exception):
    """A connection could not be established."""

    def __init__(self, reason: CloseReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


async def connect(address: str, kind: str, timeout: float) -> Connection:
    """Open a connection within `timeout` seconds, or log the failure and raise ConnectError with its reason."""
    ident = next_ident()
    host, port = split_address(address)
    try:
        sock = socket.socket(address_family(host))
    except OSError:  # no descriptor is left
        raise _failed(ident, kind, address, CloseReason.LIMIT) from None
    stream = IOStream(
        sock, max_buffer_size=MAX_UNREAD, max_write_buffer_size=MAX_UNSENT, read_chunk_size=READ_PER_TURN
    )
    try:
        async with asyncio.timeout(timeout):
            await stream.connect((host, port))
    except TimeoutError:
        reason = CloseReason.CONNECT_TIMEOUT
    except StreamClosedError as error:
        number = error.real_error.errno if isinstance(error.real_error, OSError) else None
        reason = REASONS.get(number, CloseReason.PEER_RESET)
    except asyncio.CancelledError:
        stream.close()
        _failed(ident, kind, address, CloseReason.SHUTDOWN)
        raise
    except OSError:
        reason = CloseReason.ERROR
    else:
        return Connection(stream, kind, address, ident=ident)
    stream.close()
    raise _failed(ident, kind, address, reason)


def _failed(ident: str, kind: str, address: str, reason: CloseReason) -> ConnectError:
    """Log a failed attempt and return its error."""
    log.event("connection_end", id=ident, kind=kind, peer=address, reason=reason.value)
    return ConnectError(reason)
