"""Optional components whose modules are imported only when enabled, to keep the start of the process fast."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from seamlb import log
from seamlb.extras import Plugins
from seamlb.lifecycle import Lifecycle
from seamlb.memory import MemoryBudget
from seamlb.routing.agent import Agent
from seamlb.routing.model import Request

if TYPE_CHECKING:
    from seamlb.desks.sip import SipDesks
    from seamlb.fronts.sip import Classify, SipFront
    from seamlb.hook import Hook
    from seamlb.store.shared_ids import SharedIdFiles


def hook(plugins: Plugins) -> Hook | None:
    """The hook in the operator's Python file, if configured."""
    if not plugins.hook:
        return None
    from seamlb.hook import Hook

    return Hook(plugins.hook)


def observer(enabled: Hook | None) -> Callable[[Request, str, int], None] | None:
    """What tells a hook the result of each call and its number of attempts."""
    if enabled is None:
        return None

    def observe(request: Request, result: str, attempts: int) -> None:
        enabled.observe(
            {
                "call": request.ident,
                "class": request.class_name,
                "tenant": request.tenant_name,
                "number": request.number,
                "result": result,
                "attempts": attempts,
            }
        )

    return observe


def shared_ids(listen: str) -> SharedIdFiles | None:
    """The ids taken by all processes that accept from the inherited socket of this address, in $TMPDIR."""
    from seamlb.store.shared_ids import SharedIdFiles, SharedIdsError

    folder = Path(os.environ.get("TMPDIR") or "/tmp") / f"seamlb-ids-{listen.replace(':', '-')}"
    try:
        return SharedIdFiles(folder)
    except SharedIdsError as error:
        log.event("ids_not_shared", error=str(error))
        return None


def sip_front(
    plugins: Plugins, agent: Agent, lifecycle: Lifecycle, classify: Classify | None, memory: MemoryBudget
) -> SipFront | None:
    """The SIP front, beside the platform's, if configured."""
    if plugins.sip is None:
        return None
    from seamlb.fronts.sip import SipFront

    return SipFront(agent, lifecycle, plugins.sip, classify, memory)


def sip_desks(plugins: Plugins, agent: Agent, memory: MemoryBudget) -> SipDesks | None:
    """The client for SIP servers, in place of the platform's, if configured."""
    if plugins.desks is None:
        return None
    from seamlb.desks.sip import SipDesks
    from seamlb.sip.endpoint import SipEndpoint

    endpoint = SipEndpoint("desk", memory=memory)
    return SipDesks(endpoint, plugins.desks.transport.upper(), agent.settings.fields, agent.counters.count_relayed)
