"""Settings and helpers shared by the tests. The values are made up for the tests."""

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

# Set-up time targets so long that an answer delayed by a busy test machine is not taken as overload.
LONG_TARGETS: dict[str, Any] = {
    "Classes": [raw_class | {"OnTime": 8000.0} for raw_class in RAW["Classes"]],
    "Extra": RAW["Extra"] | {"Repeat": 0.0},
}


def settings(**changes: Any) -> api.Settings:
    """Settings with top-level keys replaced, or merged where both values are objects."""
    raw = dict(RAW)
    for key, value in changes.items():
        raw[key] = raw[key] | value if isinstance(value, dict) and isinstance(raw.get(key), dict) else value
    return api.Settings.from_mapping(raw)


def entry(server: int, state: int = 1, since: float = 0.0, zone: int = 0) -> api.ListEntry:
    """A list entry whose cell has the number of the server."""
    return api.ListEntry(server, zone, server, state, since)


def give_list(controller: Controller, now: float, *servers: int) -> None:
    """Give the controller its first list; servers of the first list are warm."""
    controller.handle(now, api.ListChange(api.Scope.CACHED, tuple(entry(s) for s in servers)))


def call_request(
    call: int, call_class: int = 0, dest: int = 1, time_left: float = 3000.0, tenant: int = 0
) -> api.CallRequest:
    return api.CallRequest(call, call_class, tenant, time_left, dest)


def ended(call: int, server: int, status: int, leg: int = 0, delay: float = 10.0) -> api.Ended:
    return api.Ended(call, leg, server, status, False, delay)


def sent_to(actions: list[api.Action]) -> list[int]:
    return [action.server for action in actions if isinstance(action, api.SendSetUp)]


def cold_allowance(with_settings: api.Settings, capacity: float, age: float) -> float:
    """Rule 4's N: set-ups that a server may get in a window, `age` ms after its start.

    `capacity`: set-ups per ms of the warm server.
    """
    rules = with_settings.contract
    ramp = min(1.0, rules.start_capacity + (1.0 - rules.start_capacity) * max(age, 0.0) / rules.cold)
    return rules.fall_multiple * ramp * capacity * rules.fall
