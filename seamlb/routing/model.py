"""Data types of the core, and the interfaces that fronts, desk clients and discovery implement."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from seamlb.api import Availability, Scope, Settings, Status

__all__ = [
    "Advisor",
    "Answer",
    "Attempt",
    "AttemptCallback",
    "Availability",
    "Caller",
    "Desk",
    "DeskClient",
    "DeskListCallback",
    "Discovery",
    "LegRecord",
    "Outcome",
    "Peers",
    "Request",
    "Scope",
    "Status",
    "Steering",
]


@dataclass(slots=True, frozen=True)
class Request:
    """A call requested by a caller."""

    ident: str
    call_class: int
    class_name: str
    tenant: int
    number: str
    patience_ms: float  # how long the caller waits, counted from when it sent the request
    destination: int
    slots: float = 1.0
    via: int = -1
    cut_before: bool = False
    description: bytes = b""
    description_type: str = "application/sdp"
    tenant_name: str = ""
    sent_ms_ago: float = 0.0
    connection: str = ""  # id of the caller's connection, for the log


@dataclass(slots=True)
class LegRecord:
    """What the log tells of one attempt, kept until its call ends."""

    desk: str = ""
    connection: str = ""  # id of the connection that carried it; empty: none did
    result: str = ""

    def fields(self) -> dict[str, str]:
        """The record as part of a log line."""
        return {"desk": self.desk, "connection": self.connection, "result": self.result}


@dataclass(slots=True, frozen=True)
class Attempt:
    """One try of a request at one desk."""

    request: Request
    leg: int
    desk: str
    timeout_ms: float
    record: LegRecord = field(default_factory=LegRecord, compare=False)


@dataclass(slots=True, frozen=True)
class Answer:
    """The desk answered: the call is established."""

    description: bytes


@dataclass(slots=True, frozen=True)
class Outcome:
    """How an attempt or an established call ended."""

    status: Status
    note: int = 0
    report: tuple[float, ...] = ()
    cause: int = 16  # Q.850, of an established call


@dataclass(slots=True, frozen=True)
class Desk:
    """A duty desk on the list of desks."""

    ident: str
    address: str
    zone: int
    cell: int
    availability: int
    since_ms: float


AttemptCallback = Callable[[int, Answer | Outcome], None]  # leg, its answer or outcome


class Caller(Protocol):
    """The caller's side of a request, which receives the final answer."""

    def established(self, description: bytes) -> bool:
        """Pass the answer on; False if the caller can no longer be reached."""

    def refused(self, back_off_ms: float) -> None:
        """Final answer: refused, the caller may retry; `back_off_ms` 0 means no Retry-After."""

    def failed(self) -> None:
        """Final answer: failed."""

    def released(self, cause: int) -> None:
        """The established call has ended."""


class DeskClient(Protocol):
    """Sends attempts to desks."""

    def desk_changed(self, desk: Desk) -> None:
        """A desk was added to the list, has changed or was removed."""

    def set_up(self, attempt: Attempt, on_update: AttemptCallback) -> None:
        """Start an attempt; `on_update` receives at most one Answer and then exactly one Outcome."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt; no further update follows."""

    def release(self, attempt: Attempt, cause: int) -> None:
        """Release an established call; no further update follows."""

    def close_idle(self, desk: str) -> None:
        """Close idle connections to a desk."""


DeskListCallback = Callable[[Scope, Sequence[Desk]], None]  # receives updates of the list from a source


class Discovery(Protocol):
    """A source of the list of desks."""

    async def run(self) -> None:
        """Follow the list until cancelled."""


class Steering(Protocol):
    """Steers calls by choosing the module's inputs; the module still decides. Times are clock milliseconds."""

    pending_events: list[tuple[str, dict[str, object]]]  # log events not written yet: name and fields

    def first_choice(self, now: float, class_name: str, number: bytes, default: int) -> int:
        """The pool of first choice of a call; `default` is the one in its request."""

    def update_desks(self, now: float, desks: Iterable[Desk]) -> None:
        """Take the complete current list."""

    def report_idle_agents(self, now: float, desk: str, idle: float) -> None:
        """Take the number of idle agents that a desk reported."""

    def step(self, now: float) -> None:
        """Advance time-dependent state; called periodically."""

    def decision_settings(self, now: float) -> Settings:
        """The settings by which the module decides."""


class Advisor(Protocol):
    """Local rules: may change a request before the module decides, and nothing afterwards."""

    def extend_settings(self, settings: Settings) -> Settings:
        """The settings for the module: classes and tenants may be appended."""

    def advise(self, now: float, request: Request, listed: Mapping[str, Desk]) -> Request:
        """The request as passed to the module."""

    def observe(self, request: Request, result: str, attempts: int) -> None:
        """A call has ended."""


class Peers(Protocol):
    """Transport of messages between call agents."""

    def send(self, target: int | None, payload: bytes) -> None:
        """Send to one agent, or to all (None)."""
