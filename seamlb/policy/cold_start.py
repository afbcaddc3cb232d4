"""Rule 4: this node's budget for a cold server, such that all nodes together do not overload it."""

import math

from seamlb.estimators import max_poisson_mean

OVERLOAD_PROBABILITY = 1e-3  # bound on the probability that all nodes together exceed the limit in a window


def cold_budget(allowed: float, nodes: int) -> tuple[float, float]:
    """Return the fraction of rule 4's N that all nodes together use, and the burst of each node in tokens.

    `allowed` is N, the set-ups that a cold server may get in a window (docs/design/cold-start.md).
    """
    overload = allowed + 2.0 * math.sqrt(allowed) + 2.0
    mean = max_poisson_mean(overload, OVERLOAD_PROBABILITY)
    return mean / allowed, max(1.0, (overload - mean) / nodes)
