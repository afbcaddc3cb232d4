"""Inputs and result of an emulated run: scenario, policy, settings of its agents, and figures."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from seamlb import api
from seamlb.planning.model import PERMILLE, Plan, Problem

CONTRACT = {
    "AnswerSlack": 20.0,
    "Cold": 14000.0,
    "DrainGrace": 500.0,
    "Fall": 1500.0,
    "FallMultiple": 3.0,
    "StartCapacity": 0.3,
}
REPORT_FIELDS = ["idle", "circuits", "avg_ms"]
DEADLINE_FACTOR = 3.0  # a class's deadline over its wanted time
LATE_WORTH = 0.2  # share of the worth of a call that is established after its wanted time


@dataclass(slots=True, frozen=True)
class DeskFault:
    """A fault of a desk, or its end, `at_s` seconds after the start of the run."""

    at_s: float
    desk: str
    kind: str  # crash, return, hang, wake, slow, drain
    factor: float = 1.0  # for slow: how many times slower


@dataclass(slots=True, frozen=True)
class Scenario:
    """How the run differs from the demand that the plan was made for."""

    name: str
    load: float = 1.0  # factor of offered load
    offices: Mapping[str, float] = field(default_factory=dict)  # factors of offered load
    districts: Mapping[str, float] = field(default_factory=dict)
    faults: tuple[DeskFault, ...] = ()
    list_lag_s: float = 2.0  # until a change of a desk is in the server list
    states: tuple[tuple[str, str], ...] = ()  # name and subject of the rules' states that are on from the start


@dataclass(slots=True, frozen=True)
class Policy:
    """A plan that steers calls to desks."""

    name: str
    plan: Plan
    repairs_plan: bool  # whether agents repair the plan during the run
    rules: str = ""  # text of a rule plug-in that every agent runs with full permissions


@dataclass(slots=True, frozen=True)
class Result:
    """The figures of a run; worths are shares of the offered worth."""

    worth: float
    worst_class: float
    worst_office: float
    cost: int
    calls: int
    attempts: int
    fallen: int  # desks that crashed of overload while cold
    late: int  # tries whose caller gave up before the final answer
    broken: tuple[str, ...]  # violations of the agent's rules
    by_class: Mapping[str, float]
    by_office: Mapping[str, float]


def agent_settings(problem: Problem, agents: int, zone: int) -> api.Settings:
    """Build the settings of one of the agents that serve this problem."""
    total_rate = sum(
        units * problem.grain / problem.kind[class_name].holding_ms
        for (class_name, _, _), units in problem.demand.items()
    )
    return api.Settings.from_mapping(
        {
            "Az": zone,
            "Instances": agents,
            "Contract": CONTRACT,
            "Extra": {"ClearWait": 300.0},
            "Classes": [
                {
                    "Name": kind.name,
                    "Worth": kind.worth,
                    "OnTime": kind.wanted_ms or 5000,
                    "LateWorth": LATE_WORTH,
                    "Deadline": DEADLINE_FACTOR * (kind.wanted_ms or 5000),
                }
                for kind in sorted_classes(problem)
            ],
            "Limits": {"AttemptsCap": 6, "Cancel": True, "MaxRetryAfter": 2000, "RetryAfter": True},
            "Tenants": [
                {"Name": office.name, "AllowancePerS": office.share * total_rate / PERMILLE}
                for office in sorted_offices(problem)
            ],
            "OverShareWorth": problem.over_share_worth / PERMILLE,
            "MembershipMode": "pushed",
            "Report": {"Fields": REPORT_FIELDS, "Source": "answers"},
        }
    )


def sorted_classes(problem: Problem) -> list[Any]:
    """Classes sorted by name: the order in which the decision module numbers them."""
    return sorted(problem.kinds, key=lambda k: k.name)


def sorted_offices(problem: Problem) -> list[Any]:
    """Offices sorted by name: the order in which the decision module numbers them."""
    return sorted(problem.offices, key=lambda o: o.name)
