"""Settings and helpers shared by the tests; the figures are the tests' own."""

from typing import Any

from seamlb import api
from seamlb.policy.controller import Controller

RAW: dict[str, Any] = {
    "Az": 0,
    "Classes": [
        {"Deadline": 9000.0, "Effect": "free", "Group": "all", "Name": "a", "OnTime": 2000.0, "Worth": 1.0},
        {"Deadline": 9000.0, "Effect": "free", "Group": "all", "Name": "b", "OnTime": 1000.0, "Worth": 3.0},
    ],
    "Contract": {
        "AnswerSlack": 20.0,
        "AskWithin": 10000.0,
        "Cold": 10000.0,
        "DrainGrace": 250.0,
        "Fall": 2000.0,
        "FallMultiple": 3.0,
        "StartCapacity": 0.3,
    },
    "Extra": {"ClearWait": 300.0, "NetworkForm": "skills", "Repeat": 500.0, "SelfNo": -1},
    "Instances": 4,
    "Limits": {
        "AttemptsCap": 4,
        "Cancel": True,
        "MaxRetryAfter": 2000.0,
        "Peers": False,
        "Probing": False,
        "RetryAfter": True,
    },
    "Me": 0,
    "MembershipMode": "pushed",
    "Report": {"Fields": ["idle", "circuits", "avg_ms"], "Source": "answers"},
}

# Aims so far off that the module takes no answer that a busy machine keeps back for a jam.
LONG_TARGETS: dict[str, Any] = {
    "Classes": [kind | {"OnTime": 8000.0} for kind in RAW["Classes"]],
    "Extra": RAW["Extra"] | {"Repeat": 0.0},
}


def settings(**change: Any) -> api.Settings:
    """Settings with top-level parts replaced, or merged where both are objects."""
    raw = dict(RAW)
    for key, value in change.items():
        raw[key] = raw[key] | value if isinstance(value, dict) and isinstance(raw.get(key), dict) else value
    return api.Settings.from_mapping(raw)


def entry(server: int, state: int = 1, since: float = 0.0, zone: int = 0) -> api.ListEntry:
    """A list entry whose pool number is its server number."""
    return api.ListEntry(server, zone, server, state, since)


def listed(controller: Controller, now: float, *servers: int) -> None:
    """Give the controller its first list, all servers warm."""
    controller.handle(now, api.ListChange(api.Scope.CACHED, tuple(entry(s) for s in servers)))


def demand(call: int, kind: int = 0, dest: int = 1, grace: float = 3000.0, tenant: int = 0) -> api.CallRequest:
    return api.CallRequest(call, kind, tenant, grace, dest)


def ended(call: int, server: int, status: int, leg: int = 0, delay: float = 10.0) -> api.Ended:
    return api.Ended(call, leg, server, status, False, delay)


def sent_to(actions: list[api.Action]) -> list[int]:
    return [action.server for action in actions if isinstance(action, api.SendSetUp)]


def cold_allowance(made: api.Settings, capacity: float, age: float) -> float:
    """Rule 4's N: what a server of `capacity` set-ups a ms once warm may get in a window `age` ms after its start."""
    rules = made.contract
    ramp = min(1.0, rules.start_capacity + (1.0 - rules.start_capacity) * max(age, 0.0) / rules.cold)
    return rules.fall_multiple * ramp * capacity * rules.fall
