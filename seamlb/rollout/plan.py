"""The rollout plan that an operator writes in TOML; it is validated completely before anything starts."""

from __future__ import annotations

import math
import tomllib
from hashlib import blake2b
from pathlib import Path
from typing import Any

import msgspec

from seamlb.net.address import split_address

MAX_CONFIG_BYTES = 48 * 1024  # sent inside an order, whose request body is limited to 64 KiB


class PlanError(Exception):
    """An unusable plan; its text is one line for the operator."""


class Revision(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an agent runs: the program's command and its configuration.

    A revision is immutable: `ident` covers every byte of command and configuration, so an edited file is another
    revision.
    """

    name: str
    command: tuple[str, ...]  # the program and its arguments
    config: str  # path relative to the file that names it; the file's text once `digest` is set
    digest: str = ""

    @property
    def ident(self) -> str:
        """The identifier that supervisors and controllers use."""
        return f"{self.name}-{self.digest}"

    @property
    def digest_matches(self) -> bool:
        """Whether the digest is that of command and configuration."""
        return self.digest == self._compute_digest()

    def _compute_digest(self) -> str:
        return blake2b("\0".join((*self.command, "", self.config)).encode(), digest_size=6).hexdigest()

    def load(self, folder: Path) -> Revision:
        """A copy with the configuration's text and the digest; OSError or ValueError if the file can't be read."""
        text = (folder / self.config).read_text()
        if len(text.encode()) > MAX_CONFIG_BYTES:
            raise ValueError(f"{self.config}: larger than {MAX_CONFIG_BYTES} bytes, the limit of a supervisor")
        loaded = msgspec.structs.replace(self, config=text)
        return msgspec.structs.replace(loaded, digest=loaded._compute_digest())


class Stage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One step of a rollout: how many agents run the new revision, and for how long."""

    agents: int | str  # a number, a percentage like "10 %", or "all"
    bake: float = 60.0  # seconds
    least: dict[str, int] = {}  # by class: requests that the changed agents must have completed
    most: float = 900.0  # seconds after the stage's start; a stage that takes longer stops the rollout

    def agent_count(self, fleet_size: int) -> int:
        """The number of agents in a fleet of the given size; at least one."""
        if isinstance(self.agents, int):
            return min(fleet_size, self.agents)
        if self.agents == "all":
            return fleet_size
        return max(1, math.ceil(fleet_size * float(self.agents.removesuffix("%")) / 100.0 - 1e-9))


class Agent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One agent and its supervisor's address."""

    name: str
    keeper: str


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A rollout from one revision to another."""

    old: Revision
    new: Revision
    stage: tuple[Stage, ...]
    agent: tuple[Agent, ...]  # in the order in which they are changed
    surge: int = 1  # maximum number of agents with two processes at a time
    unavailable: int = 0  # maximum number of agents not ready for another one to be started
    bearable: float = 0.005  # tolerated increase in the share of unserved requests at changed agents
    false_stop: float = 0.05  # probability of stopping a rollout between equal revisions
    crashes: int = 1  # maximum per changed agent and stage
    settle: float = 15.0  # seconds after the switch in which an agent is not compared, as it learns its desks again
    silence: float = 10.0  # seconds without an answer or figures of a changed agent after which the rollout stops

    def stage_sizes(self) -> list[int]:
        """The number of changed agents in each stage."""
        return [one.agent_count(len(self.agent)) for one in self.stage]


def load_plan(path: Path) -> Plan:
    """Read and validate a plan; the paths of its revisions are relative to the plan's folder."""
    try:
        plan = msgspec.convert(tomllib.loads(path.read_text()), Plan)
        _validate(plan)
        old, new = plan.old.load(path.parent), plan.new.load(path.parent)
        if old.digest == new.digest:
            raise ValueError("new: the same command and configuration as old")
    except OSError as error:
        raise PlanError(f"{error.filename or path}: {error.strerror}") from None
    except (ValueError, msgspec.ValidationError) as error:  # TOML errors are ValueErrors
        raise PlanError(f"{path}: {error}".replace("\n", " ")) from None
    return msgspec.structs.replace(plan, old=old, new=new)


def _validate(plan: Plan) -> None:
    """Raise a ValueError that names the key and its fault."""

    def require(condition: Any, key: str, text: str) -> None:
        if not condition:
            raise ValueError(f"{key}: {text}")

    for key, revision in (("old", plan.old), ("new", plan.new)):
        require(revision.name and revision.command, key, "name and command must not be empty")
        require(not revision.digest, f"{key}.digest", "is computed and can't be set")
    require(plan.old.name != plan.new.name, "new.name", "must differ from old.name")
    require(plan.agent, "agent", "at least one is required")
    for field in ("name", "keeper"):
        values = [getattr(one, field) for one in plan.agent]
        require(len(set(values)) == len(values), f"agent.{field}", "duplicate value")
    for agent in plan.agent:
        split_address(agent.keeper)
    require(plan.stage, "stage", "at least one is required")
    for index, stage in enumerate(plan.stage):
        key = f"stage[{index}]"
        if isinstance(stage.agents, str) and stage.agents != "all":
            share = stage.agents.removesuffix("%").strip()
            valid = stage.agents.endswith("%") and share.replace(".", "", 1).isdigit() and 0 < float(share) <= 100
            require(valid, f"{key}.agents", f'must be a number, a percentage or "all", not {stage.agents!r}')
        elif isinstance(stage.agents, int):
            require(stage.agents > 0, f"{key}.agents", "must be above 0")
        require(0 <= stage.bake < stage.most, f"{key}.most", "must be above bake, which must not be negative")
        require(all(one >= 0 for one in stage.least.values()), f"{key}.least", "must not be negative")
    sizes = plan.stage_sizes()
    require(
        all(a < b for a, b in zip(sizes, sizes[1:], strict=False)),
        "stage",
        f"must increase from stage to stage, not {sizes} agents",
    )
    require(sizes[-1] == len(plan.agent), "stage", "the last one must include every agent")
    require(plan.surge > 0, "surge", "must be above 0")
    require(plan.unavailable >= 0 and plan.crashes >= 0, "unavailable, crashes", "must not be negative")
    require(0 <= plan.bearable < 1, "bearable", "must be at least 0 and below 1")
    require(0 < plan.false_stop < 1, "false_stop", "must be between 0 and 1")
    require(plan.silence > 0 and plan.settle >= 0, "silence, settle", "silence must be above 0, settle not negative")
