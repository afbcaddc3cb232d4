"""All decisions of the call controller; the types it takes and gives are in seamlb/api.py.

After Andersson, Nyberg and Kihl (2003): a controller tests (4) and (6) per core server, a gate gaps
classes above their floors, a route takes the first choice or a weighted draw, guards keep the rules.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_left
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from seamlb import api
from seamlb.estimators import DecayingValue, TokenBucket

MARGIN = 0.9  # paper: f, the factor on the right side of (4) and (6) for level 1
STREAK = 5  # paper: consecutive detections before a level changes, of all nodes: each sees its part
STEP_MS = 50.0  # paper: X, between adding (DESIGN: and lifting) one gapped class
QUANTILE = 0.75  # paper, configuration 1: the upper quartile stands for x
FLOORS = (10.0, 5.0, 0.5)  # paper: guaranteed rates of priorities 1, 2 and 3, here a ratio
FLOOR_LOAD = 0.1  # ours: left side of (1) when all ranks run at their floors
RECENT = 16  # ours: own set-up delays kept per server
RECOVER_MS = 5000.0  # ours: evidence of a server fades with this, and older than this tells nothing
PROCESSOR_FULL = 3  # wire: the note of a processor that turns set-ups away
FADE_MS = 30000.0  # ours: time constant of this node's rate of answers
USUAL = 2.0  # ours: answers that what the settings let a node expect weighs as much as
SILENT_TIMES = 2.0  # ours: a server is silent after this many times its recent slowness
CHANCE = 1e-3  # ours: bound on the chance that all nodes together send a cold server too much in a window
SPILL = 4.0  # ours: spill may fill a server up to this many times its part by lines
SPILL_BURST = 2.0  # ours: spilt calls at once
STALL_MS = 250.0  # ours: a longer gap between two events is a stall of this node; its beat comes at half
BEAT = 1 << 63  # the token of the beat; calls are below 2^52
RESERVE = 0.35  # ours: roots of its lines kept, times the logarithm of how much less a call is worth
OVERTAKEN = 3  # ours: a set-up that so many later ones overtook is lost: a processor takes them in turn
OVERTAKEN_MS = 50.0  # ours: how much later they must have been sent; what travels may change places
FAULT_PART = 0.1  # ours: how much the latest answer counts in a server's share of faults
FAULTY = 0.3  # ours: above this share a fault is the server's and not the call's
BUSY_MS = 5000.0  # ours: a number whose lines are all busy is not asked for again for so long
LINES_BUSY = 4  # wire: the note of a number whose lines are all busy
TURNED = 4096  # ours: callers turned away that are remembered, against a flood of numbers
LIGHT_MS = 20.0  # ours: a delay that hardly counts against a route


def cold_budget(allowed: float, nodes: int) -> tuple[float, float]:
    """What part of rule 4's N all nodes together use, and the tokens that each may save up.

    Chernoff's bound for sums of sends that know nothing of each other: docs/design/cold-start.md.
    """
    falls = allowed + 2.0 * math.sqrt(allowed) + 2.0
    rarity = 1.0 - math.log(CHANCE) / falls
    mean = math.exp(-rarity)  # part of `falls`; Newton's steps solve mean - log(mean) = rarity
    for _ in range(6):
        mean -= (mean - math.log(mean) - rarity) / (1.0 - 1.0 / mean)
    return mean * falls / allowed, max(1.0, (1.0 - mean) * falls / nodes)


def floor_ratios(in_full: Sequence[bool]) -> list[float]:
    """Floors of ranks, dearest first: the paper's, drawn between; not `in_full`, the lowest."""
    step = (len(FLOORS) - 1) / max(sum(in_full) - 1, len(FLOORS) - 1)
    ratios: list[float] = []
    for rank, full in enumerate(in_full):
        place = step * sum(in_full[:rank])
        low = min(int(place), len(FLOORS) - 2)
        ratios.append(FLOORS[low] * (FLOORS[low + 1] / FLOORS[low]) ** (place - low) if full else FLOORS[-1])
    return ratios


# -- controller: N, x, conditions, levels -------------------------------------------------------


def holds(due: Sequence[float], floors: Sequence[float], x: float, limits: Sequence[float], f: float) -> bool:
    """Paper's (4) and (6); `due`: time left to each unanswered set-up's deadline, `floors`: lambda_j."""
    below = [sum(left < t for left in due) for t in limits]
    for k, tk in enumerate(limits):
        ahead = sum(floors[j] * (tk - limits[j]) for j in range(k))
        if not (below[k] + ahead) * x < tk * f:  # (4)
            return False
        for i, ti in enumerate(limits[k + 1 :], k + 1):
            later = sum(floors[j] * min(tk, ti - limits[j]) for j in range(k, i))
            later += sum(floors[j] * limits[j] for j in range(k))  # (5)
            window = below[i] - sum(left < ti - tk for left in due)
            if not (window + ahead + later) * x < tk * f:  # (6)
                return False
    return True


@dataclass(slots=True)
class Call:
    """A call that still needs its final answer."""

    ident: int
    kind: api.CallClass
    rank: int
    over_by: float  # clock time at which the caller gives up
    destination: int
    in_transit: bool
    width: float
    caller: tuple[int, int, int]  # number called, class, tenant: a redial has them all from the first try
    since: float  # clock time of the first try
    over: int  # 1 if the first try went beyond its tenant's share
    cap: int  # attempts it may have, as it was when it came
    attempts: int = 0
    overtaken: int = 0  # later set-ups there that were answered before it
    core: Core | None = None  # where an attempt is out
    not_before: float = 0.0
    tried: list[int] = field(default_factory=list)
    faulted: int = -1  # the server that failed it last
    ran: tuple[api.ListEntry, float] | None = None  # first attempt that may have run, and its send


@dataclass(slots=True)
class Core:
    """A core server as this node sees it."""

    entry: api.ListEntry
    filled: float  # when the cold budget was last filled up
    cold_from: float  # clock time of its cold start; -inf: warm
    verdicts: deque[int]  # of the latest detections
    tokens: float  # budget of a cold server, and of spill
    pending: dict[int, tuple[float, float, int]] = field(default_factory=dict)  # call: due, sent, out then
    ratios: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=RECENT))  # at, value
    level: int = 0
    depth: int = 0  # how many ranks are gapped, from the lowest up
    stepped: float = -math.inf
    opens: dict[int, float] = field(default_factory=dict)  # gapped rank: when its next interval starts
    wait: DecayingValue = field(default_factory=lambda: DecayingValue(RECOVER_MS))
    idle: float = math.inf
    circuits: float = math.inf
    told: float = -math.inf  # when its lines were last heard of
    heard: float = -math.inf  # last answer of any kind
    passed: float = -math.inf  # when the latest set-up that was answered had been sent
    lost: float = -math.inf  # when a set-up last ran out of time with nothing heard since
    sent: float = -math.inf  # latest set-up
    faults: float = 0.0  # share of its latest answers that were errors

    def x(self, awake: float) -> float:
        """Paper's x: a high quantile of delay per own set-up outstanding; nought without evidence.

        The oldest that none overtook counts by age: a stopped server sends no delays; harms in an idle time.
        """
        ages = [(awake - sent) / out for _, sent, out in self.pending.values() if sent >= self.passed]
        ratios = sorted(ratio for at, ratio in self.ratios if awake - at < RECOVER_MS)
        return max(ages[:1] + ratios[int(len(ratios) * QUANTILE):][:1], default=0.0)

    def size(self) -> float:
        return self.circuits if 0 < self.circuits < math.inf else 1.0

    def silent(self, now: float, awake: float, patience: float) -> bool:
        """Nothing back since the oldest set-up unanswered; after a time-out it is tried now and then."""
        if self.heard < self.lost:
            return bool(self.pending) or awake - self.sent < RECOVER_MS
        oldest = next((sent for _, sent, _ in self.pending.values()), math.inf)
        return self.heard <= oldest and awake - oldest > max(patience, SILENT_TIMES * self.wait.get(now))

    def shows(self, now: float, width: float, reserve: float) -> bool:
        """Does it show free lines enough? Cheaper ranks leave some to dearer ones; reports age."""
        left = self.idle - reserve * math.sqrt(self.size())
        return left >= width or now - self.told > RECOVER_MS

    def weight(self, now: float) -> float:
        return self.size() * (1.0 - self.faults) / (LIGHT_MS + self.wait.get(now))

    def answered(self, fault: bool) -> None:
        self.faults += FAULT_PART * (fault - self.faults)


class Controller:
    """Decides for one access node; feed it events in order, carry out the actions it returns."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.calls, self.listed = dict[int, Call](), False
        self.cores: dict[int, Core] = {}
        self.awake, self.last, self.stalled, self.beat = 0.0, 0.0, -1.0, -math.inf
        self.out: list[api.Action] = []
        self.turned: dict[tuple[int, int, int], tuple[float, float, int]] = {}  # first try, latest, over
        self.busy: dict[int, float] = {}  # number called: until when none of its lines is worth asking for
        self.share_buckets: dict[int, TokenBucket] = {}
        self.taken = DecayingValue(FADE_MS)  # answers of all servers to this node, per ms and line
        self.streak = max(1, round(STREAK / settings.instances))
        self.began, self.lines = math.inf, 1.0  # clock time of the first event; sum of the servers' sizes
        self.ranks: dict[tuple[int, int, int], int] = {}
        self.set = settings
        self._tune(settings)

    def _tune(self, settings: api.Settings) -> None:
        """Take settings, at the start or anew: what is known of calls and servers stays."""
        self._forget_renamed(settings)
        self.set, live = settings, sorted(settings.kinds.values())
        # T_k: the class's aim, all scaled down so that the longest ends where a waiting set-up is repeated.
        self.longest = max(settings.classes[place].on_time for place in live)
        part = min(1.0, settings.repeat / self.longest) if settings.repeat else 1.0
        limit = [kind.on_time * part for kind in settings.classes]
        self.limits = sorted({limit[place] for place in live})
        # Ranks by the paper's U, dearest first; calls over a share and late redials are classes of their own.
        shares = (1.0, settings.over_share_worth) if settings.allowances else (1.0,)
        known = sorted(
            (-kind.worth * share * part / kind.width, late, over, place)
            for place, kind in enumerate(settings.classes) for over, share in enumerate(shares)
            for late, part in enumerate((1.0, kind.late_worth) if kind.late_worth < 1.0 else (1.0,))
        )
        order = [one for one in known if one[3] in live]
        had = {rank: key for key, rank in self.ranks.items()}
        self.ranks = {(one[3], one[2], one[1]): min(bisect_left(order, one), len(order) - 1) for one in known}
        for call in self.calls.values():
            call.rank = self.ranks.get(had[call.rank], len(order) - 1)
        for core in self.cores.values():
            core.opens, core.depth = {}, min(core.depth, len(order))
        # Lines kept, in roots of a server's, from what is worth less than any call in time and in share.
        plain = min(settings.classes[place].worth / settings.classes[place].width for place in live)
        self.reserve = [RESERVE * max(0.0, math.log(plain / -u)) if u and plain else 0.0 for u, *_ in order]
        self.limit_of = [self.limits.index(limit[place]) for _, _, _, place in order]
        self.floor_ratio = floor_ratios([over + late == 0 for _, late, over, _ in order])
        self.patience = settings.patience
        rate = sum(settings.allowances) / settings.instances / 1000.0
        self.usual = (USUAL / FADE_MS, USUAL / FADE_MS / rate) if rate else (0.0, 0.0)

    def _forget_renamed(self, settings: api.Settings) -> None:
        """What is known by a number that another class or tenant has now is not the new one's."""
        kinds, tenants = settings.renamed(self.set)
        self.turned = {caller: one for caller, one in self.turned.items()
                       if caller[1] not in kinds and caller[2] not in tenants}
        for tenant in tenants:
            self.share_buckets.pop(tenant, None)

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Take one event at clock time `now`; returns the actions in order."""
        self.out, self.began = [], min(self.began, now)
        # A stall of this node is no evidence of any server: the awake clock leaves it out.
        if now - self.last > STALL_MS:
            self.stalled = now
        else:
            self.awake += now - self.last
        self.last = now
        if now >= self.beat:
            self.beat = now + STALL_MS / 2
            self.out.append(api.WakeAt(BEAT, self.beat))
        match event:
            case api.Demand():
                self._demand(now, event)
            case api.Stands():
                self._stands(now, event)
            case api.Ended():
                self._ended(now, event)
            case api.HungUp():
                if call := self.calls.get(event.call):
                    self._turn(now, call)
                self._forget(event.call)
            case api.Alarm():
                if (call := self.calls.get(event.token)) and call.core is None and now >= call.not_before:
                    self._place(now, call)
            case api.ListChange():
                self._list(now, event)
            case api.Sampled():
                self._report(now, event.server, event.report)
            case api.Retuned():
                self._tune(event.settings)
        return self.out

    def floors(self, now: float, core: Core) -> list[float]:
        """Guaranteed rates per rank; (1) holds with this node's part of the server in place of 1/x."""
        scale = FLOOR_LOAD * self._part(now, core) / sum(self.floor_ratio)
        return [ratio * scale for ratio in self.floor_ratio]

    def _part(self, now: float, core: Core) -> float:
        """Set-ups per millisecond this node may count on from a server of this size once it is warm.

        Its part by lines of all answers to this node, which begins at its part of all allowances.
        """
        count, span = self.usual
        span += 1.0 - math.exp((self.began - now) / FADE_MS)  # the rate began at nought
        rate = (count / self.lines + self.taken.get(now)) / span if span else 0.0
        cold = now - core.cold_from < self.set.contract.cold
        # At least a trickle, which of all nodes together must not be much where a server is cold.
        return max(rate * core.size(), 1.0 / FADE_MS / (self.set.instances if cold else 1))

    def _detect(self, now: float, core: Core) -> None:
        if now == self.stalled:
            return
        x = core.x(self.awake)
        per_limit = [0.0] * len(self.limits)
        for rank, floor in enumerate(self.floors(now, core)):
            per_limit[self.limit_of[rank]] += floor
        due = [pending[0] - now for pending in core.pending.values()]
        wait = core.wait.get(now)  # the backlog of all nodes ahead, as last known
        if wait >= self.limits[0] or not holds(due, per_limit, x, self.limits, 1.0):
            verdict = 2
        else:
            verdict = 1 - (wait < MARGIN * self.limits[0] and holds(due, per_limit, x, self.limits, MARGIN))
        core.verdicts.append(verdict)
        if len(core.verdicts) == self.streak:
            core.level = max(min(core.verdicts), min(core.level, max(core.verdicts)))
        self._step(now, core)

    # -- gate: gapping above floors, ranks by U -------------------------------------------------

    def _step(self, now: float, core: Core) -> None:
        if core.level == 2:
            core.depth, core.stepped = len(self.floor_ratio), now
            return
        goal = len(self.floor_ratio) if core.level == 1 else 0
        steps = min(abs(goal - core.depth), (now - core.stepped) // STEP_MS if core.depth else 1)
        if steps:
            core.depth += int(steps) if goal > core.depth else -int(steps)
            core.stepped = now

    def _gate(self, now: float, core: Core, rank: int) -> bool:
        """Does the gate let a call of this rank through? A gapped rank keeps its floor."""
        if core.depth:
            self._detect(now, core)
        if rank < len(self.floor_ratio) - core.depth:
            core.opens.pop(rank, None)
            return True
        gap = 1.0 / self.floors(now, core)[rank]
        return now >= core.opens.setdefault(rank, now + gap * self.rng.random())

    def _over_share(self, now: float, tenant: int) -> int:
        """1 for traffic beyond this node's part of the tenant's fleet-wide allowance."""
        if tenant >= len(self.set.allowances):
            return 0
        rate = self.set.allowances[tenant] / self.set.instances / 1000.0
        depth = 1.0 + rate * RECOVER_MS
        return int(not self.share_buckets.setdefault(tenant, TokenBucket(depth, now)).take(now, rate, depth))

    # -- route: first choice, else a weighted draw ----------------------------------------------

    def _route(self, now: float, call: Call) -> Core | None:
        """The first choice if it shows a free line and its gate passes; only else the others are weighed."""
        rest = []
        for core in self.cores.values():
            if core.entry.cell != call.destination:
                rest.append(core)
            elif self._may_send(now, call, core) and self._gate(now, core, call.rank):
                return core
        rest = [core for core in rest if self._may_send(now, call, core)]
        rest.sort(key=lambda core: self.rng.expovariate(core.weight(now) + 1e-9))
        return next((core for core in rest if self._gate(now, core, call.rank)), None)


    def _may_send(self, now: float, call: Call, core: Core) -> bool:
        entry, kind, spills = core.entry, call.kind, core.entry.cell != call.destination
        if entry.server in call.tried or self.avoids(now, core):
            return False
        if self.set.network:
            barred = entry.cell == self.set.self_number or (call.in_transit and spills) or core.circuits == 0
        else:
            barred = kind.pools is not None and entry.cell not in kind.pools
        if barred or not core.shows(now, call.width, self.reserve[call.rank]):
            return False
        if call.ran is not None and kind.effect != "free":  # rule 2, repeats of effects
            old, sent = call.ran
            same = {"all": True, "zone": old.zone == entry.zone, "cell": old.cell == entry.cell}[kind.group]
            if kind.effect == "single_shot" or not same or now >= sent + kind.window:
                return False
        return self._room(now, core, spills)

    def avoids(self, now: float, core: Core) -> bool:
        """Does it get no call now, whichever it is?"""
        ready = core.entry.availability == api.Availability.READY  # rule 3
        return not ready or core.silent(now, self.awake, self.limits[0])

    def _hear(self, now: float, core: Core) -> None:
        """Heard again after a long silence it counts as cold; harms when it was only out of reach."""
        if self.awake - core.heard > RECOVER_MS and core.silent(now, self.awake, self.limits[0]):
            core.cold_from, core.tokens, core.filled = now, self.rng.random(), now
        core.heard = self.awake

    def _room(self, now: float, core: Core, spills: bool) -> bool:
        """Rule 4: this node's part of what a cold server may get; spill onto warm servers is bounded too."""
        rules = self.set.contract
        warmed = (now - core.cold_from) / rules.cold
        part, grown, top = self._part(now, core), SPILL, SPILL_BURST
        if warmed < 1.0:
            grown = rules.start_capacity + (1.0 - rules.start_capacity) * max(warmed, 0.0)
            grown *= rules.fall_multiple
            used, top = cold_budget(part * grown * rules.fall * self.set.instances, self.set.instances)
            grown *= used
        core.tokens = min(top, max(core.tokens, -top) + (now - core.filled) * part * grown)
        core.filled = now
        return core.tokens >= 1.0 or (warmed >= 1.0 and not spills)

    def _place(self, now: float, call: Call) -> None:
        """Send the call to a server whose gate passes, or give it up at once."""
        left = call.over_by - now
        core = self._route(now, call) if left > 0 and call.attempts < call.cap else None
        if core is None:
            return self._give_up(now, call)
        if call.rank in core.opens:
            gap = 1.0 / self.floors(now, core)[call.rank]
            core.opens[call.rank] = now + gap - (now - core.opens[call.rank]) % gap
        core.tokens -= 1.0
        call.core, call.attempts, call.overtaken = core, call.attempts + 1, 0
        due = now + min(self.limits[self.limit_of[call.rank]], left)
        core.pending[call.ident] = (due, self.awake, len(core.pending) + 1)
        core.sent = self.awake
        self.out.append(api.CallOut(call.ident, core.entry.server, left))
        self._detect(now, core)

    def _give_up(self, now: float, call: Call) -> None:
        """The final answer, at once; only a set-up that may have run forbids refusing."""
        del self.calls[call.ident]
        self._turn(now, call)
        kind = call.kind
        if call.ran is None or kind.effect == "free" or (kind.effect == "guarded" and kind.group == "all"):
            backoff = self.set.limits.max_retry_after * self.rng.uniform(0.25, 0.75)
            self.out.append(api.Deny(call.ident, backoff))  # whether or not callers are known to heed it
        else:
            self.out.append(api.ReportFailure(call.ident))

    def _busy(self, now: float, key: int) -> None:
        """All lines of a number are busy: who calls it now is turned away here, at no cost to a server."""
        self.busy = {known: until for known, until in self.busy.items() if until > now}
        if key:
            self.busy[key] = now + BUSY_MS

    def _turn(self, now: float, call: Call) -> None:
        """Remember a caller that leaves without its call: the same number soon again is its redial."""
        while self.turned and (next(iter(self.turned.values()))[1] < now - self.patience
                               or len(self.turned) >= TURNED):
            del self.turned[next(iter(self.turned))]
        if call.caller[0] and call.caller[0] not in self.busy:
            self.turned[call.caller] = call.since, now, call.over

    def _forget(self, ident: int) -> None:
        """A call is over, or an attempt is: it no longer counts in N."""
        if (call := self.calls.pop(ident, None)) and call.core:
            call.core.pending.pop(ident, None)


    def _demand(self, now: float, event: api.Demand) -> None:
        kind = self.set.classes[event.call_class]
        caller = event.key, event.call_class, event.tenant
        since, at, over = self.turned.pop(caller, (now, -math.inf, 0))
        if now - at > self.patience:  # nobody's redial: what it uses of the share is its own
            since, over = now, self._over_share(now, event.tenant)
        late = int(kind.late_worth < 1.0 and now - since >= kind.on_time)
        rank = self.ranks[event.call_class, over, late]
        call = Call(event.call, kind, rank, now + event.grace, event.destination, event.in_transit,
                    event.slots or kind.width, caller, since, over, self.set.limits.attempts_cap)
        self.calls[event.call] = call
        if now < self.busy.get(event.key, 0.0):
            self._give_up(now, call)
        else:
            self._place(now, call)

    def _stands(self, now: float, event: api.Stands) -> None:
        self.calls.pop(event.call, None)
        if core := self.cores.get(event.server):
            self._hear(now, core)
        if core and (pending := core.pending.pop(event.call, None)):
            delay = min(event.delay, self.awake - pending[1])
            core.ratios.append((self.awake, delay / pending[2]))
            core.wait.put(now, delay)
            core.answered(False)
            self._overtake(core, pending[1])
            self.taken.add(now, 1.0 / FADE_MS / self.lines)
            self._detect(now, core)

    def _overtake(self, core: Core, sent: float) -> None:
        """An answer came to a set-up sent at `sent`: those sent before it that it overtook may be lost.

        A lost one is called off while its call can still stand in time elsewhere.
        """
        core.passed = max(core.passed, sent)
        for ident, (_, before, _) in list(core.pending.items()):
            if before >= sent - OVERTAKEN_MS:
                break
            call = self.calls.get(ident)
            if call and call.core is core:
                call.overtaken += 1
                if call.overtaken == OVERTAKEN and self.set.limits.cancel:
                    self.out.append(api.Withdraw(ident, call.attempts - 1))

    def _ended(self, now: float, event: api.Ended) -> None:
        self._report(now, event.server, event.report)
        core = self.cores.get(event.server)
        if core and event.report:
            self._hear(now, core)
        if core and (pending := core.pending.pop(event.call, None)):
            turned_away = event.status == api.Status.FULL and event.note & 15 == PROCESSOR_FULL
            missed = event.status == api.Status.TIMEOUT and pending[1] >= core.passed
            if missed and core.heard <= pending[1]:
                core.lost = self.awake
            if turned_away or missed:
                core.verdicts.extend([2] * STREAK)
                core.level = 2
                core.wait.put(now, max(core.wait.get(now), self.longest))
                self._step(now, core)
            else:
                self._detect(now, core)
                if event.status == api.Status.FULL:
                    # All nodes rush to the few lines told free; one turned away knows better till next told.
                    core.idle, core.told = 0.0, now
        if (call := self.calls.get(event.call)) is None or event.final:
            return self._forget(event.call)
        entry, call.core = call.core and call.core.entry, None
        if entry and event.status not in api.NEVER_RAN and not call.ran:
            call.ran = (entry, now - event.delay)
        fault = event.status == api.Status.ERROR and event.note != LINES_BUSY
        if core and fault and event.server != call.faulted:  # once a call: it may fail wherever it goes
            call.faulted = event.server
            core.answered(True)
        if core is None or not fault or core.faults < FAULTY or call.attempts >= call.cap - 1:
            # A server that fails many calls may yet take this one, and the last try is another's; else a
            # fault may be the call's own doing, and repeats would only cost work.
            call.tried.append(event.server)
        call.not_before = now + self.set.contract.clear_wait * (event.status in api.BARRING)  # rule 5
        left = call.over_by - call.not_before
        if event.note == LINES_BUSY:
            self._busy(now, call.caller[0])
            self._give_up(now, call)
        elif event.status == api.Status.OK or left <= self.set.contract.answer_slack:
            self._give_up(now, call)
        elif call.not_before > now:
            self.out.append(api.WakeAt(call.ident, call.not_before))
        else:
            self._place(now, call)

    def _report(self, now: float, server: int, report: Sequence[float]) -> None:
        if (core := self.cores.get(server)) is None:
            return
        seen = dict(zip(self.set.fields, report, strict=False))
        if "idle" in seen:
            core.idle, core.circuits, core.told = seen["idle"], seen.get("circuits", core.circuits), now
            self._count(now)
        if 0.0 <= seen.get("avg_ms", -1.0) < math.inf:
            core.wait.put(now, seen["avg_ms"])

    def _list(self, now: float, event: api.ListChange) -> None:
        if self.set.on_request and (event.scope == api.Scope.FAILED or not self.listed):
            self.out.append(api.Follow(True))
        if event.scope == api.Scope.FAILED:
            return
        if event.scope != api.Scope.DELTA:
            named = {entry.server for entry in event.entries}
            self.cores = {server: core for server, core in self.cores.items() if server in named}
        for entry in event.entries:
            core = self.cores.get(entry.server)
            if entry.availability == api.Availability.GONE:
                self.cores.pop(entry.server, None)
            elif core is None or (entry.since and entry.since != core.entry.since):
                began = entry.since or (now if self.listed else -math.inf)
                # The budget begins at random, or all nodes' first sends would come at the same moment.
                new = Core(entry, now, began, deque(maxlen=self.streak), self.rng.random())
                if core:
                    new.idle, new.circuits = core.idle, core.circuits
                self.cores[entry.server] = new
            else:
                core.entry = entry
        self._count(now)
        self.listed = True

    def _count(self, now: float) -> None:
        """Lines of the servers; of one that drains and its cold successor one counts."""
        cold = self.set.contract.cold
        up = api.Availability.READY
        ready = sum(one.size() for one in self.cores.values() if one.entry.availability == up)
        warm = sum(one.size() for one in self.cores.values() if now - one.cold_from >= cold)
        self.lines = max(ready, warm, 1.0)
