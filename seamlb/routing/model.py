"""What the core deals in, and what it asks of fronts, desk clients and discovery."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
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
    "Outcome",
    "Peers",
    "Request",
    "Scope",
    "Status",
    "Steering",
]


@dataclass(slots=True, frozen=True)
class Request:
    """A call that a caller asked for."""

    ident: str
    call_class: int
    class_name: str
    tenant: int
    number: str
    patience_ms: float  # how long the caller waits, from when it sent the request
    destination: int
    slots: float = 1.0
    via: int = -1
    cut_before: bool = False
    description: bytes = b""
    description_type: str = "application/sdp"
    tenant_name: str = ""
    sent_ms_ago: float = 0.0


@dataclass(slots=True, frozen=True)
class Attempt:
    """One try of a request at one desk."""

    request: Request
    leg: int
    desk: str
    timeout_ms: float


@dataclass(slots=True, frozen=True)
class Answer:
    """The desk took the call: it stands."""

    description: bytes


@dataclass(slots=True, frozen=True)
class Outcome:
    """How an attempt, or a call that stood, came to its end."""

    status: Status
    note: int = 0
    report: tuple[float, ...] = ()
    cause: int = 16  # Q.850, of a call that stood


@dataclass(slots=True, frozen=True)
class Desk:
    """A duty desk on the list."""

    ident: str
    address: str
    zone: int
    cell: int
    availability: int
    since_ms: float


AttemptCallback = Callable[[int, Answer | Outcome], None]  # leg, what became of it


class Caller(Protocol):
    """The side of a request that waits for its final answer."""

    def established(self, description: bytes) -> bool:
        """Pass the answer on; False if the caller can no longer be told."""

    def refused(self, back_off_ms: float) -> None:
        """Final: refused, trying again is harmless; `back_off_ms` 0 gives no advice."""

    def failed(self) -> None:
        """Final: failed."""

    def released(self, cause: int) -> None:
        """The call that stood is over."""


class DeskClient(Protocol):
    """Carries attempts to desks."""

    def desk_changed(self, desk: Desk) -> None:
        """A desk is new, has changed or is gone."""

    def set_up(self, attempt: Attempt, heard: AttemptCallback) -> None:
        """Start an attempt; `heard` is told at most an Answer and then exactly one Outcome."""

    def cancel(self, attempt: Attempt) -> None:
        """Call an attempt off; nothing more is told of it."""

    def release(self, attempt: Attempt, cause: int) -> None:
        """End a call that stands; nothing more is told of it."""

    def close_idle(self, desk: str) -> None:
        """Close idle connections."""


DeskListCallback = Callable[[Scope, Sequence[Desk]], None]  # takes a source's news of the list


class Discovery(Protocol):
    """Brings the list of desks to the core until it is stopped."""

    async def run(self) -> None:
        """Follow the list."""


class Steering(Protocol):
    """Steers calls before the module decides: it chooses inputs, never a send. Times are clock milliseconds."""

    pending_events: list[tuple[str, dict[str, object]]]  # log lines that are due: event and facts

    def first_choice(self, now: float, kind: str, number: bytes, usual: int) -> int:
        """The pool of first choice of a call; `usual` is what its front says."""

    def update_desks(self, now: float, desks: Iterable[Desk]) -> None:
        """The whole list as it is now."""

    def report_idle_agents(self, now: float, desk: str, idle: float) -> None:
        """A desk told how many agents are free."""

    def step(self, now: float) -> None:
        """Time has passed."""

    def decision_settings(self, now: float) -> Settings:
        """The settings that the module is to decide by."""


class Advisor(Protocol):
    """Local rules: they may change what is known of a call before the module decides, and nothing after."""

    def extend_settings(self, settings: Settings) -> Settings:
        """The settings for the module: classes may be added behind those that are there."""

    def advise(self, now: float, request: Request, listed: Mapping[str, Desk]) -> Request:
        """The request as the module is to see it."""

    def observe(self, request: Request, result: str, attempts: int) -> None:
        """A call is over."""


class Peers(Protocol):
    """Carries messages between call agents."""

    def send(self, target: int | None, payload: bytes) -> None:
        """To one agent, or to all (None)."""
