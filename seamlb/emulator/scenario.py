"""What a run is made of: a scenario with its troubles, a policy, the settings of its agents, and what came of it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from seamlb import api
from seamlb.planning.model import PERMILLE, Plan, Problem

RULES = {
    "AnswerSlack": 20.0,
    "Cold": 14000.0,
    "DrainGrace": 500.0,
    "Fall": 1500.0,
    "FallMultiple": 3.0,
    "StartCapacity": 0.3,
}
FIELDS = ["idle", "circuits", "avg_ms"]
DEADLINE = 3.0  # times the wanted time
LATE = 0.2  # of the worth, for a call that stands after its wanted time


@dataclass(slots=True, frozen=True)
class Trouble:
    """Something that happens to a desk."""

    at: float
    desk: str
    what: str  # crash, return, hang, wake, slow, drain
    factor: float = 1.0


@dataclass(slots=True, frozen=True)
class Scenario:
    """How the day differs from what the plan was made for."""

    name: str
    load: float = 1.0
    offices: Mapping[str, float] = field(default_factory=dict)  # factors of offered load
    districts: Mapping[str, float] = field(default_factory=dict)
    troubles: tuple[Trouble, ...] = ()
    list_lag: float = 2.0  # seconds
    states: tuple[tuple[str, str], ...] = ()  # of the rules, declared from the start


@dataclass(slots=True, frozen=True)
class Policy:
    """Who is steered where: a plan, and whether it is mended while it runs."""

    name: str
    plan: Plan
    mended: bool
    rules: str = ""  # a plug-in's text that every agent runs, granted all it may move


@dataclass(slots=True, frozen=True)
class Result:
    """What came of a run; worths are parts of what was offered."""

    worth: float
    worst_class: float
    worst_office: float
    cost: int
    calls: int
    attempts: int
    fallen: int  # desks that fell over while cold
    late: int  # tries that ended without a final answer in time
    broken: tuple[str, ...]  # rules of the agent that did not hold
    by_class: Mapping[str, float]
    by_office: Mapping[str, float]


def settings(problem: Problem, agents: int, zone: int) -> api.Settings:
    """What an agent of this problem would be told."""
    total = sum(units * problem.grain / problem.kind[c].holding_ms for (c, _, _), units in problem.demand.items())
    return api.Settings.from_mapping(
        {
            "Az": zone,
            "Instances": agents,
            "Contract": RULES,
            "Extra": {"ClearWait": 300.0},
            "Classes": [
                {
                    "Name": k.name,
                    "Worth": k.worth,
                    "OnTime": k.wanted_ms or 5000,
                    "LateWorth": LATE,
                    "Deadline": DEADLINE * (k.wanted_ms or 5000),
                }
                for k in kinds(problem)
            ],
            "Limits": {"AttemptsCap": 6, "Cancel": True, "MaxRetryAfter": 2000, "RetryAfter": True},
            "Tenants": [{"Name": o.name, "AllowancePerS": o.share * total / PERMILLE} for o in offices(problem)],
            "OverShareWorth": problem.over_share_worth / PERMILLE,
            "MembershipMode": "pushed",
            "Report": {"Fields": FIELDS, "Source": "answers"},
        }
    )


def kinds(problem: Problem) -> list[Any]:
    """Classes by name, the order in which the module numbers them."""
    return sorted(problem.kinds, key=lambda k: k.name)


def offices(problem: Problem) -> list[Any]:
    """Offices by name, the order in which the module numbers them."""
    return sorted(problem.offices, key=lambda o: o.name)
