"""One agent of agreed versions, without sockets."""

from seamlb.agree.acting import Acting
from seamlb.agree.charter import Charter, Field
from seamlb.agree.holder import Holder
from seamlb.api import Availability
from seamlb.routing.model import Desk

KEYS = {1: b"k" * 32, 2: b"l" * 32}


FOUNDING = "ab" * 16


PLAIN = {"open": 50, "desks": ["d1"], "zones": {"zones": ["east", "west"], "left": ["west"]}}


def desk(name: str, zone: int = 0, state: Availability = Availability.READY) -> Desk:
    return Desk(name, "", zone, 0, state, 0.0)


def acting(now: list[float], tenants: int = 2, agents: int = 4) -> Acting:
    names = tuple(sorted(f"a{n}" for n in range(agents)))
    shares = {
        f"tenant.t{n}": Field(
            "share",
            {"whole": 8.0, "parts": dict.fromkeys(names, 8.0 / agents)},
            {"whole": 8.0, "parts": dict.fromkeys(names, 1.0 / agents)},
        )
        for n in range(tenants)
    }
    first = Charter(
        1,
        "",
        names[:1],
        names,
        shares
        | {
            "open": Field("limit", PLAIN["open"], 5),
            "desks": Field("held", PLAIN["desks"], ["d1", "d2"]),
            "zones": Field("left", PLAIN["zones"], {"zones": ["east", "west"], "left": []}),
            "note": Field("free", "x", ""),
        },
    )
    holder = Holder("a1", 2.0, first, first, 0.0, 0)
    return Acting(holder, ("east", "west"), lambda: now[0])


def lend(found: Acting, until: float) -> None:
    found.holder.until, found.holder.cleared = until, 1
