"""Controllers in a known state, for tests of the decision module."""

import math

from seamlb import api
from seamlb.observations import Server
from seamlb.policy.controller import Controller
from tests.support import RAW, give_list, settings


def controller_with_server(allowance: float = 4.0) -> tuple[Controller, Server]:
    tenants = [{"AllowancePerS": allowance}]
    controller = Controller(settings(Tenants=tenants, OverShareWorth=0.1, Instances=1), 1)
    give_list(controller, 0.0, 1)
    return controller, controller.node.fleet.servers[1]


def set_answer_rate(controller: Controller, rate: float, now: float = 0.0) -> None:
    """Set the node's estimate to `rate` answers per ms, as after a long run."""
    controller.node.first_event_at = -math.inf
    controller.node.answers_per_line.set(now, rate / controller.node.fleet.lines)


def advance(controller: Controller, start: float, end: float) -> None:
    """Advance the clock with events every 100 ms, so that the node does not count as stalled."""
    for now in range(int(start), int(end), 100):
        controller.handle(float(now), api.TimerFired(999))


def settings_with_late_worth(late_worth: float = 0.25, **changes: object) -> api.Settings:
    classes = [raw_class | {"LateWorth": late_worth} for raw_class in RAW["Classes"]]
    return settings(Classes=classes, Instances=1, **changes)
