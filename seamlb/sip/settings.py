"""Settings of the sip front; apart from its code, which is loaded only where it is on."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class SipFrontConfig:
    """Where the front listens, and the headers that describe a call with what stands in for them."""

    udp: str = ""
    tcp: str = ""
    class_header: str = "X-Cos"
    tenant_header: str = "X-Operator"
    deadline_header: str = "X-Timer-Ms"
    figures_header: str = "X-Legs"
    default_class: str = ""
    default_tenant: str = ""
    default_deadline_ms: float = 0.0  # 0: the class's own deadline
    destinations: Mapping[str, int] = field(default_factory=dict)  # class: its first-choice pool
    connections: int = 256
