"""The news that the coroutine of one request is told: by fronts, server clients, the decision module and timers."""

from __future__ import annotations

from dataclasses import dataclass

from seamlb import api
from seamlb.routing.model import Answer, Outcome


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
    """The caller has given up by now, and no final answer has been decided."""


@dataclass(slots=True, frozen=True)
class Shutdown:
    """The process ends: whoever has no final answer by now fails."""


@dataclass(slots=True, frozen=True)
class AttemptUpdate:
    """What a server client told of an attempt."""

    leg: int
    what: Answer | Outcome


Verdict = api.SendSetUp | api.Refuse | api.Fail
Decision = Verdict | CallerLeft | Shutdown | Overdue  # what ends a wait with no attempt out
AttemptNews = AttemptUpdate | CallerLeft | api.Cancel | TimedOut | Shutdown  # what ends the wait for a server
CallNews = AttemptUpdate | CallerLeft  # what ends a call that stands
News = Verdict | api.Cancel | CallerLeft | TimedOut | Shutdown | Overdue | AttemptUpdate
