"""How many descriptors callers may hold, so that discovery, servers and operators always find one."""

from __future__ import annotations

import resource

CLIENT_SHARE = 0.6  # part of all descriptors that callers may hold at most; the platform says they take a third
CLIENT_LEAST = 1 / 3  # and the part that they always may hold
OPERATOR_SHARE = 1 / 8  # part of all descriptors that operators' connections may hold at most
OWN = 16  # standard streams, the event loop, listeners, discovery and its successor, one being accepted
PER_SERVER = 2  # the connection to a server, and one that tests it


def descriptor_limit(configured: int) -> int:
    """Descriptors that this process may have: what the configuration says, and no more than the system gives."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if soft == resource.RLIM_INFINITY else min(configured, soft)


def max_management_connections(total: int, most: int) -> int:
    """Connections that operators may hold, at most `most`."""
    return max(1, min(most, int(total * OPERATOR_SHARE)))


def max_caller_connections(total: int, servers: int, operators: int) -> int:
    """Connections that callers may hold beside those to so many servers and of so many operators."""
    left = total - OWN - PER_SERVER * servers - operators
    return max(1, int(total * CLIENT_LEAST), min(int(total * CLIENT_SHARE), left))
