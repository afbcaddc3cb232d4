"""The paper's deadline conditions (4) and (6) of one server."""

from collections.abc import Sequence


def meets_deadlines(
    remaining: Sequence[float], floors: Sequence[float], delay: float, limits: Sequence[float], margin: float
) -> bool:
    """Do all set-ups meet their limits T_k, rising, if each takes `delay` and the floors come on top?

    `remaining`: time left to each unanswered set-up's deadline; `floors`: guaranteed rates by limit
    (lambda_j); `margin`: the paper's f.
    """
    below = [sum(left < limit for left in remaining) for limit in limits]
    for k, limit in enumerate(limits):
        ahead = sum(floors[j] * (limit - limits[j]) for j in range(k))
        if not (below[k] + ahead) * delay < limit * margin:  # (4)
            return False
        for i, longer in enumerate(limits[k + 1 :], k + 1):
            later = sum(floors[j] * min(limit, longer - limits[j]) for j in range(k, i))
            later += sum(floors[j] * limits[j] for j in range(k))  # (5)
            window = below[i] - sum(left < longer - limit for left in remaining)
            if not (window + ahead + later) * delay < limit * margin:  # (6)
                return False
    return True
