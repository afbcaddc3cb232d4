"""Settings, events and actions of the decision module: types only, no decisions.

Times are in milliseconds. Identifiers are opaque integers.
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


NEVER_RAN = frozenset({Status.FULL, Status.CONNECT_FAILED, Status.NOT_RUN})  # the attempt had no effect
DELAYS_RETRY = frozenset({Status.TIMEOUT, Status.RESET, Status.CANCELLED})  # rule 5: lines may stay busy for a while


class Availability(IntEnum):
    """State of a server according to the server list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Scope(IntEnum):
    """What a list change contains: all servers, nothing, only the changed servers, or a cached full list."""

    FULL = 0
    FAILED = 1
    DELTA = 2
    CACHED = 3


# -- settings ---------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class CallClass:
    """One class of call."""

    name: str
    on_time: float  # ms, target of the set-up time
    deadline: float  # ms, longest that a caller waits
    worth: float
    late_worth: float  # fraction of the worth that a set-up later than `on_time` still has
    effect: str  # whether an attempt that may have run may be repeated: free, guarded, single_shot
    group: str  # where a guarded attempt may be repeated: all, zone, cell
    window: float  # ms after the first attempt in which it may be repeated
    width: float  # lines per call
    pools: frozenset[int] | None  # cells that may take the class; None: all


@dataclass(slots=True, frozen=True)
class Contract:
    """Parameters of the five rules of the platform."""

    answer_slack: float  # ms after the deadline in which a final answer still counts
    drain_grace: float  # ms
    cold: float  # ms that a server takes to warm up
    fall: float  # ms, window in which set-ups to a cold server are counted
    fall_multiple: float  # of its current capacity, above which a cold server fails
    start_capacity: float  # fraction of the full capacity at a cold start
    ask_within: float  # ms
    clear_wait: float  # ms to wait before a retry, see DELAYS_RETRY


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits set by the site."""

    attempts_cap: int  # attempts per call
    cancel: bool
    peers: bool
    probing: bool
    retry_after: bool
    max_retry_after: float  # ms


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of an instance; immutable, a reload creates another version with `following`."""

    me: int  # number of this instance
    instances: int
    zone: int
    classes: tuple[CallClass, ...]
    allowances: tuple[float, ...]  # calls per s of the whole fleet, by tenant
    over_share_worth: float  # fraction of the worth that a call beyond its tenant's allowance has
    contract: Contract
    limits: Limits
    on_request: bool  # whether list changes have to be subscribed to
    network: bool
    self_number: int
    retransmit_after: float  # ms after which an unanswered set-up is repeated; 0: never
    fields: tuple[str, ...]  # names of the values in a load report, in order
    report_source: str
    # Ids by name, of the classes and tenants that requests may name; open calls may still have ids of removed ones.
    class_ids: Mapping[str, int] = field(default_factory=dict)
    tenant_ids: Mapping[str, int] = field(default_factory=dict)
    tenant_names: tuple[str, ...] = ()  # by id, including removed tenants

    @property
    def longest_deadline(self) -> float:
        """The longest time in ms that a caller of any class waits."""
        return max(call_class.deadline for call_class in self.classes)

    def following(
        self, old: Settings, classes_in_use: Collection[int] = (), tenants_in_use: Collection[int] = ()
    ) -> Settings:
        """Return these settings as the version after `old`, in which classes and tenants keep their ids.

        The id of a removed class or tenant is reused once no open call has it and one version went without it, so
        that the tables don't grow with each reload. Fields in `RESTART_ONLY` keep their value from the start.
        """
        class_ids = _assign_ids(len(old.classes), old.class_ids, self.class_ids, classes_in_use)
        tenant_ids = _assign_ids(len(old.allowances), old.tenant_ids, self.tenant_ids, tenants_in_use)
        return replace(
            self,
            class_ids=class_ids,
            tenant_ids=tenant_ids,
            classes=_ordered_by_id(old.classes, self.classes, self.class_ids, class_ids),
            allowances=_ordered_by_id(old.allowances, self.allowances, self.tenant_ids, tenant_ids),
            tenant_names=_ordered_by_id(old.tenant_names, self.tenant_names, self.tenant_ids, tenant_ids),
            **{name: getattr(old, name) for name in RESTART_ONLY},
        )

    def reassigned_ids(self, old: Settings) -> tuple[set[int], set[int]]:
        """Return the ids of classes and of tenants that mean another name here than in `old`."""
        classes = zip((kind.name for kind in old.classes), (kind.name for kind in self.classes), strict=False)
        tenants = zip(old.tenant_names, self.tenant_names, strict=False)
        return _changed_ids(classes), _changed_ids(tenants)

    def restart_only_changes(self, old: Settings) -> list[str]:
        """Return the names of fields that differ but take effect only after a restart."""
        return [name for name in RESTART_ONLY if getattr(self, name) != getattr(old, name)]

    @classmethod
    def from_mapping(cls, raw: Mapping[str, Any]) -> Settings:
        """Build settings from decoded JSON; unknown keys are ignored, invalid values raise ValueError."""
        extra = _section(raw, "Extra")
        limits = _section(raw, "Limits")
        rules = _section(raw, "Contract", required=True)
        raw_classes = raw.get("Classes")
        if not isinstance(raw_classes, list) or not raw_classes:
            raise ValueError("Classes: at least one class is needed")
        pools = extra.get("SkilledPools") or []
        widths = extra.get("Widths") or []
        classes = tuple(
            CallClass(
                name=str(item.get("Name", "")),
                on_time=_number(item, "OnTime", where=f"Classes[{index}].", positive=True),
                deadline=_number(item, "Deadline", where=f"Classes[{index}].", positive=True),
                worth=_number(item, "Worth", 1.0, where=f"Classes[{index}]."),
                late_worth=_number(item, "LateWorth", 1.0, where=f"Classes[{index}]."),
                effect=_choice(item, "Effect", ("free", "guarded", "single_shot"), f"Classes[{index}]."),
                group=_choice(item, "Group", ("all", "zone", "cell"), f"Classes[{index}]."),
                window=_number(item, "Window", 0.0, where=f"Classes[{index}]."),
                width=float(widths[index]) if index < len(widths) else 1.0,
                pools=frozenset(pools[index]) if index < len(pools) else None,
            )
            for index, item in enumerate(raw_classes)
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
        report = _section(raw, "Report")
        return cls(
            me=int(_number(raw, "Me", 0)),
            instances=int(_number(raw, "Instances", positive=True)),
            zone=int(_number(raw, "Az", 0)),
            classes=classes,
            allowances=tuple(
                _number(item, "AllowancePerS", 0.0, where=f"Tenants[{index}].") for index, item in enumerate(tenants)
            ),
            over_share_worth=_number(raw, "OverShareWorth", 1.0),
            contract=contract,
            limits=Limits(
                attempts_cap=int(_number(limits, "AttemptsCap", where="Limits.", positive=True)),
                cancel=bool(limits.get("Cancel")),
                peers=bool(limits.get("Peers")),
                probing=bool(limits.get("Probing")),
                retry_after=bool(limits.get("RetryAfter")),
                max_retry_after=_number(limits, "MaxRetryAfter", 0.0, where="Limits."),
            ),
            on_request=on_request,
            network=extra.get("NetworkForm") == "network",
            self_number=int(extra.get("SelfNo", -1)),
            retransmit_after=_number(extra, "Repeat", 0.0, where="Extra."),
            fields=tuple(report.get("Fields") or ()),
            report_source=str(report.get("Source", "none")),
            class_ids={call_class.name: index for index, call_class in enumerate(classes)},
            tenant_ids={str(item.get("Name", "")): index for index, item in enumerate(tenants)},
            tenant_names=tuple(str(item.get("Name", "")) for item in tenants),
        )


def _assign_ids(size: int, old: Mapping[str, int], names: Iterable[str], in_use: Collection[int]) -> dict[str, int]:
    """Return ids by name: the name's old id, else a free one below `size`, else the next one from `size` on."""
    taken = {*old.values(), *in_use}
    free = [number for number in range(size) if number not in taken]
    new_ids = itertools.count(size)
    return {name: old[name] if name in old else free.pop(0) if free else next(new_ids) for name in names}


def _changed_ids(names: Iterable[tuple[str, str]]) -> set[int]:
    return {number for number, (old, new) in enumerate(names) if old != new}


def _ordered_by_id(
    old: tuple[T, ...], new: tuple[T, ...], indexes: Mapping[str, int], ids: Mapping[str, int]
) -> tuple[T, ...]:
    """Return the old table with the entries of `new` at their ids; `indexes` and `ids` are by name."""
    table = dict(enumerate(old)) | {ids[name]: new[index] for name, index in indexes.items()}
    return tuple(table[number] for number in range(len(table)))


def _section(raw: Mapping[str, Any], key: str, required: bool = False) -> Mapping[str, Any]:
    value = raw.get(key)
    if value is None and not required:
        return {}
    if not isinstance(value, Mapping):
        raise ValueError(f"{key}: missing" if value is None else f"{key}: not an object")
    return value


def _number(
    raw: Mapping[str, Any], key: str, default: float | None = None, *, where: str = "", positive: bool = False
) -> float:
    value = raw.get(key, default)
    if value is None:
        raise ValueError(f"{where}{key}: missing")
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{where}{key}: not a number: {value!r}")
    if not 0 <= value < float("inf") or (positive and value == 0):
        raise ValueError(f"{where}{key}: impossible value {value!r}")
    return float(value)


def _choice(raw: Mapping[str, Any], key: str, choices: tuple[str, ...], where: str) -> str:
    value = raw.get(key, choices[0])
    if value not in choices:
        raise ValueError(f"{where}{key}: unknown value {value!r}")
    return str(value)


# -- events -----------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class ListEntry:
    """A server in the server list."""

    server: int
    zone: int
    cell: int
    availability: int
    since: float  # start time; 0: unknown


@dataclass(slots=True, frozen=True)
class ListChange:
    """A change of the server list; with ``FAILED`` there are no entries."""

    scope: int
    entries: tuple[ListEntry, ...]


@dataclass(slots=True, frozen=True)
class CallRequest:
    """A request to set up a call, which needs one final answer within ``time_left`` ms."""

    call: int
    call_class: int
    tenant: int
    time_left: float
    destination: int
    slots: float = 1.0  # lines that the call takes; 0: the width of its class
    hint: float = 0.0
    redialled: bool = False
    in_transit: bool = False
    cut_before: bool = False
    via: int = -1
    number_key: int = 0  # hash of the number called; 0: unknown


@dataclass(slots=True, frozen=True)
class Answered:
    """An attempt was answered: the call is established until its ``Ended``."""

    call: int
    leg: int
    server: int
    delay: float  # ms since the attempt was sent


@dataclass(slots=True, frozen=True)
class Ended:
    """An attempt has ended; if ``final``, its call has ended too."""

    call: int
    leg: int
    server: int
    status: int
    final: bool
    delay: float  # ms since the attempt was sent
    note: int = 0  # diagnosis code, more specific than the status
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class HungUp:
    """The caller hung up; the call needs no final answer."""

    call: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by ``SetTimer`` has fired."""

    token: int


@dataclass(slots=True, frozen=True)
class ServerReport:
    """A probe's answer, or an unsolicited report of free circuits (``delay`` 0)."""

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
    """New settings to use from now on; open calls keep the class settings that they came with."""

    settings: Settings


Event = ListChange | CallRequest | Answered | Ended | HungUp | TimerFired | ServerReport | PeerMessage | NewSettings

# -- actions ----------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class SendSetUp:
    """Start an attempt at a server; ``within`` is its time-out in ms."""

    call: int
    server: int
    within: float


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: refused; ``backoff`` in ms advises the caller when to retry (0: no advice)."""

    call: int
    backoff: float


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: the call failed."""

    call: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt."""

    call: int
    leg: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request a ``TimerFired`` at a clock time."""

    token: int
    at: float


@dataclass(slots=True, frozen=True)
class Probe:
    """Probe a server."""

    server: int


@dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a message to one access node, or to all if ``target`` is None."""

    target: int | None
    payload: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """Write a log line."""

    text: str


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close idle connections to a server."""

    server: int


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Subscribe to list changes, or end the subscription."""

    enable: bool


@dataclass(slots=True, frozen=True)
class FetchList:
    """Request the full list once."""


Action = SendSetUp | Refuse | Fail | Cancel | SetTimer | Probe | SendMessage | Log | CloseIdle | Subscribe | FetchList
