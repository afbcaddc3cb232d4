"""What is known of one request in its life."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from seamlb.routing.inbox import Inbox
from seamlb.routing.model import Attempt, Caller, Request
from seamlb.routing.news import AttemptUpdate, CallerLeft, Overdue, Shutdown, TimedOut, Verdict

__all__ = ["AttemptUpdate", "CallSession", "CallerLeft", "Overdue", "Shutdown", "TimedOut", "Verdict", "key_of"]


def key_of(number: str) -> int:
    """The number called as the module sees it; any text a caller may send has one."""
    return int.from_bytes(blake2b(number.encode("utf-8", "surrogateescape"), digest_size=8).digest())


@dataclass(slots=True)
class CallSession:
    """One request from its taking to its end; owned by its coroutine, told news by the others."""

    number: int  # the module's name for it
    request: Request
    caller: Caller
    inbox: Inbox = field(default_factory=Inbox)
    attempt: Attempt | None = None  # the one slot: never two attempts at once (rule 1)
    attempts: int = 0
    server: int = -1  # the module's number for the attempt's desk
    sent: float = 0.0  # clock time of the attempt
    answered: bool = False
    stood: bool = False
    left: bool = False  # the caller has gone: known at once, while its news may still be pending
    since: float = 0.0  # clock time of its taking; kept only where somebody asks how long answers take
    kind: str = ""  # the class that the caller named; local rules may give the request another one
    on_closed: Callable[[], object] = lambda: None  # tells the front that the life is over
