"""Settings of the SIP front, separate from its code, which is loaded only if the front is enabled."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class SipFrontConfig:
    """Listen addresses, and the headers that describe a call with the defaults for missing ones."""

    udp: str = ""
    tcp: str = ""
    class_header: str = "X-Cos"
    tenant_header: str = "X-Operator"
    deadline_header: str = "X-Timer-Ms"
    figures_header: str = "X-Legs"
    default_class: str = ""
    default_tenant: str = ""
    default_deadline_ms: float = 0.0  # 0: the deadline of the class
    destinations: Mapping[str, int] = field(default_factory=dict)  # first-choice pool by class
    connections: int = 256  # TCP
