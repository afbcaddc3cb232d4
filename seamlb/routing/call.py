"""The state of one request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from seamlb.memory import CALL_BYTES
from seamlb.routing.inbox import Inbox
from seamlb.routing.messages import Action, AttemptUpdate, CallerGone, Overdue, SessionMessage, Shutdown, TimedOut
from seamlb.routing.model import Attempt, Caller, LegRecord, Request

__all__ = [
    "Action",
    "AttemptUpdate",
    "CallSession",
    "CallerGone",
    "Overdue",
    "Shutdown",
    "TimedOut",
    "call_bytes",
    "hash_key",
]


def hash_key(number: str) -> int:
    """The key by which the module knows a called number: a 64-bit hash, defined for any text a caller may send."""
    return int.from_bytes(blake2b(number.encode("utf-8", "surrogateescape"), digest_size=8).digest())


def call_bytes(request: Request) -> int:
    """The memory that an open call holds; its description is also in the set-up to its server."""
    return CALL_BYTES + 2 * len(request.description)


@dataclass(slots=True)
class CallSession:
    """One request from acceptance to its end; owned by its coroutine, which receives messages from other parts."""

    number: int  # identifies the call to the module
    request: Request
    caller: Caller
    inbox: Inbox = field(default_factory=Inbox)
    attempt: Attempt | None = None  # the current one: never two attempts at once (rule 1)
    attempts: int = 0
    legs: list[LegRecord] = field(default_factory=list)  # of all attempts, the oldest first
    server: int = -1  # the module's number of the attempt's desk
    sent_at: float = 0.0  # clock time at which the attempt started, ms
    answered: bool = False
    established: bool = False
    caller_gone: bool = False  # set at once, while the CallerGone message may still be pending
    accepted_at: float = 0.0  # clock time of acceptance, ms; 0 unless times to answer are measured
    class_name: str = ""  # class named by the caller; local rules may assign the request another one
    held_bytes: int = field(init=False)  # charged to the memory budget
    has_left: Callable[[], bool] = lambda: False  # whether the caller has gone, which its front may not have read yet
    on_closed: Callable[[], object] = lambda: None  # called at the end of the session

    def __post_init__(self) -> None:
        """Fix what the budget is charged for this call; local rules may replace the request."""
        self.held_bytes = call_bytes(self.request)

    def start_leg(self, desk: str) -> LegRecord:
        """Add and return the record of a new attempt."""
        self.attempts += 1
        self.legs.append(LegRecord(desk))
        return self.legs[-1]

    def start_timer(self, delay_ms: float, message: SessionMessage) -> asyncio.TimerHandle:
        """Put a message into the inbox after a delay, unless the timer is cancelled."""
        return asyncio.get_running_loop().call_later(max(0.0, delay_ms) / 1000.0, self.inbox.put_nowait, message)

    def start_answer_timer(self, answer_slack_ms: float) -> asyncio.TimerHandle:
        """Start the timer that answers the caller in time even if no decision is made."""
        return self.start_timer(
            self.request.patience_ms - self.request.sent_ms_ago + answer_slack_ms / 2.0, Overdue()
        )

    def log_fields(self) -> dict[str, Any]:
        """What the log tells of the call at its end; `desk` is the last one that it was sent to."""
        return {
            "call": self.request.ident,
            "kind": self.request.class_name,
            "attempts": self.attempts,
            "client": self.request.connection,
            "desk": self.legs[-1].desk if self.legs else "",
            "legs": [leg.fields() for leg in self.legs],
        }
