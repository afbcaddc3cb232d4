"""Rule 4: how much a cold server gets from this node, so that all nodes together do not overload it."""

import math

from seamlb.estimators import poisson_mean

CHANCE = 1e-3  # bound on the chance that all nodes together send a cold server too much in a window


def cold_budget(allowed: float, nodes: int) -> tuple[float, float]:
    """What part of rule 4's N all nodes together use, and the tokens each may save (design/cold-start.md)."""
    falls = allowed + 2.0 * math.sqrt(allowed) + 2.0
    mean = poisson_mean(falls, CHANCE)
    return mean / allowed, max(1.0, (falls - mean) / nodes)
