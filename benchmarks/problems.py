"""Random planning problems of a given size for benchmarks."""

import random

from seamlb.planning.model import Kind, Office, PlanDesk, Problem


def problem(desks: int, kinds: int, districts: int, seed: int = 1) -> Problem:
    """Desks of 20 to 60 agents with up to four skills; the load is 85 % of all agents."""
    rng = random.Random(seed)
    district_names = tuple(f"d{n:02}" for n in range(districts))
    times = {(each, each): 0 for each in district_names}
    for n, each in enumerate(district_names):
        for other in district_names[:n]:
            times[each, other] = times[other, each] = rng.randint(50, 250) * 100
    classes = tuple(
        Kind(
            f"k{n:02}",
            rng.choice((1, 3, 5)),
            rng.choice((8000, 10000)),
            "wait",
            5000,
            100_000,
            desks=rng.choice((1, 2)),
        )
        for n in range(kinds)
    )
    offices = tuple(Office(f"o{n}", share) for n, share in enumerate((500, 380, 120)))
    names = [each.name for each in classes]
    plan_desks = tuple(
        PlanDesk(
            f"j{n:03}",
            rng.choice(district_names),
            rng.choice((20, 30, 40, 60)),
            20_000,
            frozenset(rng.sample(names, min(kinds, 4))),
            most_classes=3,
            fixed_cost=rng.randint(10, 40) * 100,
            agent_cost=90,
        )
        for n in range(desks)
    )
    total = 0.85 * sum(each.agents for each in plan_desks) * 10
    demand = {
        (kind.name, district, office.name): int(total / kinds / districts * office.share / 1000)
        for kind in classes
        for district in district_names
        for office in offices
    }
    return Problem(district_names, times, offices, classes, plan_desks, demand, grain=100)


def text(instance: Problem) -> str:
    """Format a problem as a problem file."""
    lines = [f"grain_erlangs = {instance.grain / 1000}"]
    for district in instance.districts:
        following = instance.districts[instance.districts.index(district) + 1 :]
        times = ", ".join(f"{other} = {instance.latencies_us[district, other] / 1000}" for other in following)
        lines += ["", "[[district]]", f'name = "{district}"', f"times_ms = {{ {times} }}"]
    for office in instance.offices:
        lines += ["", "[[office]]", f'name = "{office.name}"', f"share = {office.share / 1000}"]
    for kind in instance.kinds:
        lines += [
            "",
            "[[class]]",
            f'name = "{kind.name}"',
            f"worth = {kind.worth}",
            f"holding_s = {kind.holding_ms / 1000}",
            f"wanted_s = {kind.wanted_ms / 1000}",
            f"target = {kind.target_ppm / 1e6}",
            f"desks = {kind.desks}",
        ]
    for desk in instance.desks:
        skills = ", ".join(f'"{skill}"' for skill in sorted(desk.skills))
        lines += [
            "",
            "[[desk]]",
            f'name = "{desk.name}"',
            f'district = "{desk.district}"',
            f"agents = {desk.agents}",
            f"setups_per_s = {desk.rate_milli / 1000}",
            f"skills = [{skills}]",
            f"most_classes = {desk.most_classes}",
            f"fixed_cost = {desk.fixed_cost}",
            f"agent_cost = {desk.agent_cost}",
        ]
    for (kind_name, district, office_name), units in sorted(instance.demand.items()):
        lines += [
            "",
            "[[demand]]",
            f'class = "{kind_name}"',
            f'district = "{district}"',
            f'office = "{office_name}"',
            f"erlangs = {units * instance.grain / 1000}",
        ]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(
        "# 40 desks, 5 classes, 6 districts: large enough to hit a time limit; made by python -m benchmarks.problems"
    )
    print("# seamlb plan solve examples/plan/large.toml --out plan.toml --time-limit 20")
    print(text(problem(40, 5, 6)), end="")
