"""What is known of one request in its life, and the news that it is told."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from seamlb import api
from seamlb.routing.model import Answer, Attempt, Caller, Outcome, Request


def key_of(number: str) -> int:
    """The number called as the module sees it; any text a caller may send has one."""
    return int.from_bytes(blake2b(number.encode("utf-8", "surrogateescape"), digest_size=8).digest())


@dataclass(slots=True, frozen=True)
class CallerLeft:
    """The caller gave the request up, or released the call; told by a front."""

    cause: int = 16


@dataclass(slots=True, frozen=True)
class TimedOut:
    """An attempt's time is over."""

    leg: int


@dataclass(slots=True, frozen=True)
class Overdue:
    """The caller has given up by now, and the module has decided nothing."""


@dataclass(slots=True, frozen=True)
class Heard:
    """What a desk client told of an attempt."""

    leg: int
    what: Answer | Outcome


Verdict = api.CallOut | api.Deny | api.ReportFailure | api.Withdraw
News = Verdict | CallerLeft | TimedOut | Overdue | Heard


@dataclass(slots=True)
class Life:
    """One request from its taking to its end; owned by its coroutine, told news by the others."""

    number: int  # the module's name for it
    request: Request
    caller: Caller
    news: asyncio.Queue[News] = field(default_factory=asyncio.Queue)
    attempt: Attempt | None = None  # the one slot: never two attempts at once (rule 1)
    attempts: int = 0
    server: int = -1  # the module's number for the attempt's desk
    sent: float = 0.0  # clock time of the attempt
    answered: bool = False
    stood: bool = False
    left: bool = False  # the caller has gone: known at once, while its news may wait behind others in the queue
    since: float = 0.0  # clock time of its taking; kept only where somebody asks how long answers take
    kind: str = ""  # the class that the caller named; local rules may give the request another one
    closed: Callable[[], object] = lambda: None  # tells the front that the life is over
