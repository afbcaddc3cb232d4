"""The paper's deadline conditions (4) and (6) for one server."""

from collections.abc import Sequence


def meets_deadlines(
    remaining: Sequence[float], floors: Sequence[float], delay: float, targets: Sequence[float], margin: float
) -> bool:
    """Return whether all set-ups meet their targets if each takes `delay` ms and the floor traffic is added.

    `remaining`: ms left to each unanswered set-up's target; `floors`: guaranteed rates by target (lambda_j,
    calls per ms); `targets`: the paper's T_k in ms, ascending; `margin`: the paper's f.
    """
    due_within = [sum(left < target for left in remaining) for target in targets]
    for k, target in enumerate(targets):
        earlier_floors = sum(floors[j] * (target - targets[j]) for j in range(k))
        if not (due_within[k] + earlier_floors) * delay < target * margin:  # (4)
            return False
        for i, longer_target in enumerate(targets[k + 1 :], k + 1):
            later_floors = sum(floors[j] * min(target, longer_target - targets[j]) for j in range(k, i))
            later_floors += sum(floors[j] * targets[j] for j in range(k))  # (5)
            due_in_window = due_within[i] - sum(left < longer_target - target for left in remaining)
            if not (due_in_window + earlier_floors + later_floors) * delay < target * margin:  # (6)
                return False
    return True
