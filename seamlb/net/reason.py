"""Why a connection ended: the codes of the log line that each one leaves."""

from enum import StrEnum


class CloseReason(StrEnum):
    """One per ended connection."""

    PEER_CLOSED = "peer_closed"  # the other side closed in good order
    PEER_RESET = "peer_reset"  # the other side broke it
    REFUSED = "refused"  # it never came up: nobody listens
    CONNECT_TIMEOUT = "connect_timeout"  # it never came up in time
    WRITE_TIMEOUT = "write_timeout"  # the other side took nothing for too long
    OVERFLOW = "overflow"  # the other side let too much wait, or sent too much
    MALFORMED = "malformed"  # bytes that can't be read further
    IDLE = "idle"  # nothing on it for too long
    SILENT = "silent"  # an answer that was due never came
    REPLACED = "replaced"  # the machine behind it is no longer wanted or has a new address
    ANSWERED = "answered"  # one call to a connection, and it has its answer
    QUIESCED = "quiesced"  # idle, and this process is being emptied
    SLOW = "slow"  # no whole message came in time
    EVICTED = "evicted"  # idle, and another wanted its place
    LIMIT = "limit"  # more connections than this process may hold
    SHUTDOWN = "shutdown"  # this process ends
    ERROR = "error"  # a fault of this program; the traceback is in the log
