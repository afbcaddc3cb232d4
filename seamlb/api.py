"""Settings, events and actions of the decision module: the types only, no decision.

Times are milliseconds. Identifiers are opaque integers.
"""

from __future__ import annotations

import itertools
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import IntEnum
from typing import Any, TypeVar

T = TypeVar("T")
RESTART_ONLY = ("me", "instances", "zone", "on_request", "network", "self_number", "fields", "report_source")


class Status(IntEnum):
    """How an attempt or a probe ended."""

    OK = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_RUN = 7


NEVER_RAN = frozenset({Status.FULL, Status.CONNECT_FAILED, Status.NOT_RUN})  # proof that the attempt did nothing
BARRING = frozenset({Status.TIMEOUT, Status.RESET, Status.CANCELLED})  # rule 5: lines may stay taken for a while


class Availability(IntEnum):
    """What the list says of a core server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Scope(IntEnum):
    """What a list change carries."""

    FULL = 0
    FAILED = 1
    DELTA = 2
    CACHED = 3


# -- settings ---------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class CallClass:
    """One class of call."""

    name: str
    on_time: float
    deadline: float
    worth: float
    late_worth: float  # the part of the worth that a set-up after `on_time` still has
    effect: str
    group: str
    window: float
    width: float
    pools: frozenset[int] | None


@dataclass(slots=True, frozen=True)
class Contract:
    """The figures of the five rules."""

    answer_slack: float
    drain_grace: float
    cold: float
    fall: float
    fall_multiple: float
    start_capacity: float
    ask_within: float
    clear_wait: float


@dataclass(slots=True, frozen=True)
class Limits:
    """What the site permits."""

    attempts_cap: int
    cancel: bool
    peers: bool
    probing: bool
    retry_after: bool
    max_retry_after: float


@dataclass(slots=True, frozen=True)
class Settings:
    """All that an instance is told at its start, or a later version of it; another follows it, it never changes."""

    me: int
    instances: int
    zone: int
    classes: tuple[CallClass, ...]
    allowances: tuple[float, ...]
    over_share_worth: float
    contract: Contract
    limits: Limits
    on_request: bool
    network: bool
    self_number: int
    repeat: float
    fields: tuple[str, ...]
    report_source: str
    # Numbers of the classes and tenants that requests may name. Others were dropped; what is open keeps them.
    class_ids: Mapping[str, int] = field(default_factory=dict)
    tenant_ids: Mapping[str, int] = field(default_factory=dict)
    tenant_names: tuple[str, ...] = ()  # by number, also of those that were dropped

    @property
    def longest_deadline(self) -> float:
        """The longest that a caller waits."""
        return max(kind.deadline for kind in self.classes)

    def following(
        self, old: Settings, open_classes: Collection[int] = (), open_tenants: Collection[int] = ()
    ) -> Settings:
        """This version as the one that follows `old`: who has a number there keeps it.

        A number that was dropped is given again once no open call has it and a version has passed without it, so that
        the tables don't grow with each reload. What is `RESTART_ONLY` stays as it was at the start.
        """
        kinds = _numbered(len(old.classes), old.class_ids, self.class_ids, open_classes)
        tenants = _numbered(len(old.allowances), old.tenant_ids, self.tenant_ids, open_tenants)
        return replace(
            self,
            class_ids=kinds,
            tenant_ids=tenants,
            classes=_placed(old.classes, self.classes, self.class_ids, kinds),
            allowances=_placed(old.allowances, self.allowances, self.tenant_ids, tenants),
            tenant_names=_placed(old.tenant_names, self.tenant_names, self.tenant_ids, tenants),
            **{name: getattr(old, name) for name in RESTART_ONLY},
        )

    def reassigned_ids(self, old: Settings) -> tuple[set[int], set[int]]:
        """Numbers of classes and of tenants that stand for another name here than in `old`."""
        classes = zip((one.name for one in old.classes), (one.name for one in self.classes), strict=False)
        tenants = zip(old.tenant_names, self.tenant_names, strict=False)
        return _changed(classes), _changed(tenants)

    def restart_only_changes(self, old: Settings) -> list[str]:
        """What differs and is for a start only."""
        return [name for name in RESTART_ONLY if getattr(self, name) != getattr(old, name)]

    @classmethod
    def from_mapping(cls, raw: Mapping[str, Any]) -> Settings:
        """Read decoded settings; unknown keys are skipped, impossible values raise ValueError."""
        extra = _part(raw, "Extra")
        limits = _part(raw, "Limits")
        rules = _part(raw, "Contract", needed=True)
        listed = raw.get("Classes")
        if not isinstance(listed, list) or not listed:
            raise ValueError("Classes: at least one class is needed")
        pools = extra.get("SkilledPools") or []
        widths = extra.get("Widths") or []
        classes = tuple(
            CallClass(
                name=str(one.get("Name", "")),
                on_time=_number(one, "OnTime", where=f"Classes[{place}].", above=True),
                deadline=_number(one, "Deadline", where=f"Classes[{place}].", above=True),
                worth=_number(one, "Worth", 1.0, where=f"Classes[{place}]."),
                late_worth=_number(one, "LateWorth", 1.0, where=f"Classes[{place}]."),
                effect=_choice(one, "Effect", ("free", "guarded", "single_shot"), f"Classes[{place}]."),
                group=_choice(one, "Group", ("all", "zone", "cell"), f"Classes[{place}]."),
                window=_number(one, "Window", 0.0, where=f"Classes[{place}]."),
                width=float(widths[place]) if place < len(widths) else 1.0,
                pools=frozenset(pools[place]) if place < len(pools) else None,
            )
            for place, one in enumerate(listed)
        )
        on_request = raw.get("MembershipMode") == "on_request"
        contract = Contract(
            answer_slack=_number(rules, "AnswerSlack", where="Contract."),
            drain_grace=_number(rules, "DrainGrace", where="Contract."),
            cold=_number(rules, "Cold", where="Contract."),
            fall=_number(rules, "Fall", where="Contract."),
            fall_multiple=_number(rules, "FallMultiple", where="Contract."),
            start_capacity=_number(rules, "StartCapacity", where="Contract."),
            ask_within=_number(rules, "AskWithin", None if on_request else 0.0, where="Contract."),
            clear_wait=_number(extra, "ClearWait", where="Extra."),
        )
        tenants = raw.get("Tenants") or []
        report = _part(raw, "Report")
        return cls(
            me=int(_number(raw, "Me", 0)),
            instances=int(_number(raw, "Instances", above=True)),
            zone=int(_number(raw, "Az", 0)),
            classes=classes,
            allowances=tuple(
                _number(one, "AllowancePerS", 0.0, where=f"Tenants[{place}].") for place, one in enumerate(tenants)
            ),
            over_share_worth=_number(raw, "OverShareWorth", 1.0),
            contract=contract,
            limits=Limits(
                attempts_cap=int(_number(limits, "AttemptsCap", where="Limits.", above=True)),
                cancel=bool(limits.get("Cancel")),
                peers=bool(limits.get("Peers")),
                probing=bool(limits.get("Probing")),
                retry_after=bool(limits.get("RetryAfter")),
                max_retry_after=_number(limits, "MaxRetryAfter", 0.0, where="Limits."),
            ),
            on_request=on_request,
            network=extra.get("NetworkForm") == "network",
            self_number=int(extra.get("SelfNo", -1)),
            repeat=_number(extra, "Repeat", 0.0, where="Extra."),
            fields=tuple(report.get("Fields") or ()),
            report_source=str(report.get("Source", "none")),
            class_ids={kind.name: place for place, kind in enumerate(classes)},
            tenant_ids={str(one.get("Name", "")): place for place, one in enumerate(tenants)},
            tenant_names=tuple(str(one.get("Name", "")) for one in tenants),
        )


def _numbered(size: int, had: Mapping[str, int], named: Iterable[str], in_use: Collection[int]) -> dict[str, int]:
    """A version's numbers by name: the name's own, else one that is free among `size`, else a further one."""
    taken = {*had.values(), *in_use}
    free = [number for number in range(size) if number not in taken]
    further = itertools.count(size)
    return {name: had[name] if name in had else free.pop(0) if free else next(further) for name in named}


def _changed(names: Iterable[tuple[str, str]]) -> set[int]:
    return {number for number, (then, now) in enumerate(names) if then != now}


def _placed(
    old: tuple[T, ...], new: tuple[T, ...], places: Mapping[str, int], numbers: Mapping[str, int]
) -> tuple[T, ...]:
    """The old table with a version's entries at their numbers."""
    table = dict(enumerate(old)) | {numbers[name]: new[place] for name, place in places.items()}
    return tuple(table[number] for number in range(len(table)))


def _part(raw: Mapping[str, Any], key: str, needed: bool = False) -> Mapping[str, Any]:
    value = raw.get(key)
    if value is None and not needed:
        return {}
    if not isinstance(value, Mapping):
        raise ValueError(f"{key}: missing" if value is None else f"{key}: not an object")
    return value


def _number(
    raw: Mapping[str, Any], key: str, default: float | None = None, *, where: str = "", above: bool = False
) -> float:
    value = raw.get(key, default)
    if value is None:
        raise ValueError(f"{where}{key}: missing")
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{where}{key}: not a number: {value!r}")
    if not 0 <= value < float("inf") or (above and value == 0):
        raise ValueError(f"{where}{key}: impossible value {value!r}")
    return float(value)


def _choice(raw: Mapping[str, Any], key: str, known: tuple[str, ...], where: str) -> str:
    value = raw.get(key, known[0])
    if value not in known:
        raise ValueError(f"{where}{key}: unknown value {value!r}")
    return str(value)


# -- events -----------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class ListEntry:
    """A core server as the list describes it."""

    server: int
    zone: int
    cell: int
    availability: int
    since: float


@dataclass(slots=True, frozen=True)
class ListChange:
    """News of the core servers; ``FAILED`` carries no entries."""

    scope: int
    entries: tuple[ListEntry, ...]


@dataclass(slots=True, frozen=True)
class CallRequest:
    """A call wants to be set up; it needs one final answer within ``grace``."""

    call: int
    call_class: int
    tenant: int
    time_left: float
    destination: int
    slots: float = 1.0
    hint: float = 0.0
    redialled: bool = False
    in_transit: bool = False
    cut_before: bool = False
    via: int = -1
    number_key: int = 0  # the number called; 0 tells nothing


@dataclass(slots=True, frozen=True)
class Answered:
    """An attempt was answered: the call stands until its ``Ended``."""

    call: int
    leg: int
    server: int
    delay: float


@dataclass(slots=True, frozen=True)
class Ended:
    """An attempt is over; ``final`` says that its call is over too."""

    call: int
    leg: int
    server: int
    status: int
    final: bool
    delay: float
    note: int = 0
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class HungUp:
    """The caller left; no answer is owed."""

    call: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that was asked for has come due."""

    token: int


@dataclass(slots=True, frozen=True)
class ServerReport:
    """A probe's answer, or unasked news of free circuits (``delay`` 0)."""

    server: int
    status: int
    delay: float
    report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another access node."""

    sender: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class NewSettings:
    """The settings are these from now on; calls that are known keep their class as it was."""

    settings: Settings


Event = ListChange | CallRequest | Answered | Ended | HungUp | TimerFired | ServerReport | PeerMessage | NewSettings

# -- actions ----------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class SendSetUp:
    """Send a set-up; ``within`` is the attempt's time-out."""

    call: int
    server: int
    within: float


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: refused; ``backoff`` tells the caller when to return (0: no advice)."""

    call: int
    backoff: float


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: the call failed."""

    call: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Call an attempt off."""

    call: int
    leg: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a ``TimerFired`` at a clock time."""

    token: int
    at: float


@dataclass(slots=True, frozen=True)
class Probe:
    """Probe a core server."""

    server: int


@dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a message to one access node, or to all (``target`` None)."""

    target: int | None
    payload: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line for the operators."""

    text: str


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close idle connections to a core server."""

    server: int


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Subscribe to list changes, or end the subscription."""

    enable: bool


@dataclass(slots=True, frozen=True)
class FetchList:
    """Ask for the full list once."""


Action = SendSetUp | Refuse | Fail | Cancel | SetTimer | Probe | SendMessage | Log | CloseIdle | Subscribe | FetchList
