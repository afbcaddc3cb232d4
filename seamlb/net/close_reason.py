"""Why a connection ended: the `reason` codes of the `connection_end` log event."""

from enum import StrEnum


class CloseReason(StrEnum):
    """One per ended connection."""

    PEER_CLOSED = "peer_closed"  # the peer closed the connection normally
    PEER_RESET = "peer_reset"  # the peer reset the connection
    REFUSED = "refused"  # connection refused: nothing listens there
    CONNECT_TIMEOUT = "connect_timeout"  # not established in time
    WRITE_TIMEOUT = "write_timeout"  # the peer stopped reading
    OVERFLOW = "overflow"  # too much unsent or unread data
    MALFORMED = "malformed"  # received data that cannot be framed
    IDLE = "idle"  # unused for too long
    SILENT = "silent"  # an expected answer never came
    REPLACED = "replaced"  # the peer was removed or has a new address
    ANSWERED = "answered"  # one request per connection, and it was answered
    QUIESCED = "quiesced"  # idle while this process is being drained
    SLOW = "slow"  # no complete message in time
    EVICTED = "evicted"  # idle, closed in favour of a new connection
    LIMIT = "limit"  # the connection or descriptor limit was reached
    SHUTDOWN = "shutdown"  # this process ends
    ERROR = "error"  # an internal error; the log has the traceback
