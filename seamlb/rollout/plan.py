"""What an operator writes of a change, in TOML, checked whole."""

from __future__ import annotations

import math
import tomllib
from hashlib import blake2b
from pathlib import Path
from typing import Any

import msgspec

from seamlb.net.address import split_address

MOST_CONFIG = 48 * 1024  # bytes; an order carries it, and may have 64 KiB


class PlanError(Exception):
    """A plan that can't be used; its text is one line for the operator."""


class Revision(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an agent runs: the program's command and its configuration.

    It never changes: `ident` names command and configuration byte by byte; a file that is edited is another revision.
    """

    name: str
    command: tuple[str, ...]  # the program and its arguments
    config: str  # a file, relative to the one that names it; its text once `digest` is there
    digest: str = ""

    @property
    def ident(self) -> str:
        """What keepers and conductors call it."""
        return f"{self.name}-{self.digest}"

    @property
    def true(self) -> bool:
        """Is it what its digest says?"""
        return self.digest == self._digest()

    def _digest(self) -> str:
        return blake2b("\0".join((*self.command, "", self.config)).encode(), digest_size=6).hexdigest()

    def read(self, folder: Path) -> Revision:
        """With its configuration's text and its digest; OSError or ValueError if the file can't be read."""
        text = (folder / self.config).read_text()
        if len(text.encode()) > MOST_CONFIG:
            raise ValueError(f"{self.config}: over {MOST_CONFIG} bytes, more than a keeper takes")
        whole = msgspec.structs.replace(self, config=text)
        return msgspec.structs.replace(whole, digest=whole._digest())


class Stage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """So many agents run the new revision, for so long."""

    agents: int | str  # a number, a share like "10 %", or "all"
    bake: float = 60.0  # seconds
    least: dict[str, int] = {}  # by class: requests that the changed agents must have brought to an end
    most: float = 900.0  # seconds from the stage's start after which it is stopped if it is still not over

    def size(self, fleet: int) -> int:
        """How many agents of a fleet; at least one."""
        if isinstance(self.agents, int):
            return min(fleet, self.agents)
        if self.agents == "all":
            return fleet
        return max(1, math.ceil(fleet * float(self.agents.removesuffix("%")) / 100.0 - 1e-9))


class Agent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One agent, by its keeper's address."""

    name: str
    keeper: str


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change from one revision to another."""

    old: Revision
    new: Revision
    stage: tuple[Stage, ...]
    agent: tuple[Agent, ...]  # in the order in which they are changed
    surge: int = 1  # agents that have two processes, at most
    unavailable: int = 0  # agents not ready, at most, for a further one to be begun
    bearable: float = 0.005  # share of requests not served that may be more at changed agents
    false_stop: float = 0.05  # chance to stop a change between equal revisions
    crashes: int = 1  # of one changed agent in a stage, at most
    settle: float = 15.0  # seconds in which an agent that has gone over is not judged: it learns its desks anew
    silence: float = 10.0  # seconds without news of a changed agent after which the change is stopped

    def sizes(self) -> list[int]:
        """Changed agents by stage."""
        return [one.size(len(self.agent)) for one in self.stage]


def load_plan(path: Path) -> Plan:
    """Read and check a plan; the revisions' files are named from where it stands."""
    try:
        plan = msgspec.convert(tomllib.loads(path.read_text()), Plan)
        _check(plan)
        old, new = plan.old.read(path.parent), plan.new.read(path.parent)
        if old.digest == new.digest:
            raise ValueError("new: the same command and configuration as old")
    except OSError as error:
        raise PlanError(f"{error.filename or path}: {error.strerror}") from None
    except (ValueError, msgspec.ValidationError) as error:  # TOML errors are ValueErrors
        raise PlanError(f"{path}: {error}".replace("\n", " ")) from None
    return msgspec.structs.replace(plan, old=old, new=new)


def _check(plan: Plan) -> None:
    """ValueError naming the key and what is wrong with it."""

    def need(true: Any, key: str, text: str) -> None:
        if not true:
            raise ValueError(f"{key}: {text}")

    for key, revision in (("old", plan.old), ("new", plan.new)):
        need(revision.name and revision.command, key, "name and command can't be empty")
        need(not revision.digest, f"{key}.digest", "not the operator's to say")
    need(plan.old.name != plan.new.name, "new.name", "the same as old.name")
    need(plan.agent, "agent", "none")
    for what in ("name", "keeper"):
        told = [getattr(one, what) for one in plan.agent]
        need(len(set(told)) == len(told), f"agent.{what}", "one is there twice")
    for agent in plan.agent:
        split_address(agent.keeper)
    need(plan.stage, "stage", "none")
    for place, stage in enumerate(plan.stage):
        key = f"stage[{place}]"
        if isinstance(stage.agents, str) and stage.agents != "all":
            share = stage.agents.removesuffix("%").strip()
            good = stage.agents.endswith("%") and share.replace(".", "", 1).isdigit() and 0 < float(share) <= 100
            need(good, f"{key}.agents", f'no number, share or "all": {stage.agents!r}')
        elif isinstance(stage.agents, int):
            need(stage.agents > 0, f"{key}.agents", "not above 0")
        need(0 <= stage.bake < stage.most, f"{key}.most", "not above bake")
        need(all(one >= 0 for one in stage.least.values()), f"{key}.least", "below 0")
    sizes = plan.sizes()
    need(all(a < b for a, b in zip(sizes, sizes[1:], strict=False)), "stage", f"not growing: {sizes} agents")
    need(sizes[-1] == len(plan.agent), "stage", "the last one leaves agents out")
    need(plan.surge > 0, "surge", "not above 0")
    need(plan.unavailable >= 0 and plan.crashes >= 0, "unavailable, crashes", "below 0")
    need(0 <= plan.bearable < 1, "bearable", "no share")
    need(0 < plan.false_stop < 1, "false_stop", "no chance")
    need(plan.silence > 0 and plan.settle >= 0, "silence, settle", "not above 0")
