"""Messages to the coroutine of one request, from fronts, desk clients, the decision module and timers."""

from __future__ import annotations

from dataclasses import dataclass

from seamlb import api
from seamlb.routing.model import Answer, Outcome


@dataclass(slots=True, frozen=True)
class CallerGone:
    """The caller cancelled the request or released the call; sent by a front."""

    cause: int = 16  # Q.850; 16 is normal clearing


@dataclass(slots=True, frozen=True)
class TimedOut:
    """An attempt has reached its timeout."""

    leg: int


@dataclass(slots=True, frozen=True)
class Overdue:
    """The caller's patience has run out and no final answer has been decided."""


@dataclass(slots=True, frozen=True)
class Shutdown:
    """The process ends: a request without a final answer fails."""


@dataclass(slots=True, frozen=True)
class AttemptUpdate:
    """What a desk client reports on an attempt."""

    leg: int
    result: Answer | Outcome


Action = api.SendSetUp | api.Refuse | api.Fail
DecisionMessage = Action | CallerGone | Shutdown | Overdue  # accepted while no attempt is in progress
AttemptMessage = AttemptUpdate | CallerGone | api.Cancel | TimedOut | Shutdown  # accepted during an attempt
CallMessage = AttemptUpdate | CallerGone  # accepted during an established call
SessionMessage = Action | api.Cancel | CallerGone | TimedOut | Shutdown | Overdue | AttemptUpdate
