"""The rules of one agent, with a lease that tests control, without sockets."""

from seamlb.agree.enforcer import RuleEnforcer
from seamlb.agree.lease import LeaseHolder
from seamlb.agree.version import ConfigVersion, Rule
from seamlb.api import Availability
from seamlb.routing.model import Desk

KEYS = {1: b"k" * 32, 2: b"l" * 32}


FOUNDING = "ab" * 16


RULE_VALUES = {"open": 50, "desks": ["d1"], "zones": {"zones": ["east", "west"], "left": ["west"]}}


def desk(name: str, zone: int = 0, state: Availability = Availability.READY) -> Desk:
    return Desk(name, "", zone, 0, state, 0.0)


def make_enforcer(now: list[float], tenants: int = 2, agents: int = 4) -> RuleEnforcer:
    names = tuple(sorted(f"a{n}" for n in range(agents)))
    shares = {
        f"tenant.t{n}": Rule(
            "share",
            {"whole": 8.0, "parts": dict.fromkeys(names, 8.0 / agents)},
            {"whole": 8.0, "parts": dict.fromkeys(names, 1.0 / agents)},
        )
        for n in range(tenants)
    }
    first = ConfigVersion(
        1,
        "",
        names[:1],
        names,
        shares
        | {
            "open": Rule("limit", RULE_VALUES["open"], 5),
            "desks": Rule("held", RULE_VALUES["desks"], ["d1", "d2"]),
            "zones": Rule("left", RULE_VALUES["zones"], {"zones": ["east", "west"], "left": []}),
            "note": Rule("free", "x", ""),
        },
    )
    holder = LeaseHolder("a1", 2.0, first, first, 0.0, 0)
    return RuleEnforcer(holder, ("east", "west"), lambda: now[0])


def grant_lease(enforcer: RuleEnforcer, expires_at: float) -> None:
    enforcer.holder.expires_at, enforcer.holder.newest_in_force = expires_at, 1
