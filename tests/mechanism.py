"""Controllers in a known state, for the tests of the decision module."""

import math

from seamlb import api
from seamlb.observations import Server
from seamlb.policy.controller import Controller
from tests.support import RAW, listed, settings


def started(allowance: float = 4.0) -> tuple[Controller, Server]:
    tenants = [{"AllowancePerS": allowance}]
    controller = Controller(settings(Tenants=tenants, OverShareWorth=0.1, Instances=1), 1)
    listed(controller, 0.0, 1)
    return controller, controller.node.fleet.servers[1]


def takes(controller: Controller, rate: float, now: float = 0.0) -> None:
    """Let the node have seen `rate` answers a millisecond, for ever."""
    controller.node.began = -math.inf
    controller.node.answers.put(now, rate / controller.node.fleet.lines)


def wait(controller: Controller, start: float, end: float) -> None:
    """Let time pass with other events coming in, so that the node is not taken as stalled."""
    for turn in range(int(start), int(end), 100):
        controller.handle(float(turn), api.TimerFired(999))


def late_worth(part: float = 0.25, **change: object) -> api.Settings:
    classes = [kind | {"LateWorth": part} for kind in RAW["Classes"]]
    return settings(Classes=classes, Instances=1, **change)
