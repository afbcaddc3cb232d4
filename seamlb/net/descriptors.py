"""Limits the connections of callers and operators, so that descriptors are left for discovery and servers."""

from __future__ import annotations

import resource

MAX_CALLER_SHARE = 0.6  # of all descriptors; the platform expects callers to need a third
MIN_CALLER_SHARE = 1 / 3  # of all descriptors; callers may always hold this many
MANAGEMENT_SHARE = 1 / 8  # of all descriptors
RESERVED = 16  # standard streams, event loop, listeners, three polls of the notice board, one being accepted
PER_SERVER = 3  # the connection to a server and two attempts that test it


def descriptor_limit(configured: int) -> int:
    """Return how many descriptors this process may open: the configured number, capped by RLIMIT_NOFILE."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if soft == resource.RLIM_INFINITY else min(configured, soft)


def max_management_connections(total: int, configured: int) -> int:
    """Return how many management connections to allow with `total` descriptors, at most `configured`."""
    return max(1, min(configured, int(total * MANAGEMENT_SHARE)))


def max_caller_connections(total: int, servers: int, others: int) -> int:
    """Return how many caller connections to allow beside those to the servers.

    `others`: connections of operators, and those to sources of the list of servers other than the notice board.
    """
    left = total - RESERVED - PER_SERVER * servers - others
    return max(1, int(total * MIN_CALLER_SHARE), min(int(total * MAX_CALLER_SHARE), left))
