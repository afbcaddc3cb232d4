"""Optional components whose modules are imported only when enabled, to keep the start of the process fast."""

from __future__ import annotations

from typing import TYPE_CHECKING

from seamlb.extras import Plugins
from seamlb.lifecycle import Lifecycle
from seamlb.routing.agent import Agent

if TYPE_CHECKING:
    from seamlb.desks.sip import SipDesks
    from seamlb.fronts.sip import Classify, SipFront
    from seamlb.hook import Hook


def hook(plugins: Plugins) -> Hook | None:
    """The hook in the operator's Python file, if configured."""
    if not plugins.hook:
        return None
    from seamlb.hook import Hook

    return Hook(plugins.hook)


def sip_front(plugins: Plugins, agent: Agent, lifecycle: Lifecycle, classify: Classify | None) -> SipFront | None:
    """The SIP front, beside the platform's, if configured."""
    if plugins.sip is None:
        return None
    from seamlb.fronts.sip import SipFront

    return SipFront(agent, lifecycle, plugins.sip, classify)


def sip_desks(plugins: Plugins, agent: Agent) -> SipDesks | None:
    """The client for SIP servers, in place of the platform's, if configured."""
    if plugins.desks is None:
        return None
    from seamlb.desks.sip import SipDesks
    from seamlb.sip.endpoint import SipEndpoint

    endpoint = SipEndpoint("desk")
    return SipDesks(endpoint, plugins.desks.transport.upper(), agent.settings.fields, agent.counters.count_relayed)
