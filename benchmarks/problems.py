"""Random planning problems of any size, for measurements."""

import random

from seamlb.planning.model import Kind, Office, PlanDesk, Problem


def problem(desks: int, kinds: int, districts: int, seed: int = 1) -> Problem:
    """Desks of 20 to 60 agents with up to four skills, load near nine tenths of all agents."""
    rng = random.Random(seed)
    places = tuple(f"d{n:02}" for n in range(districts))
    times = {(one, one): 0 for one in places}
    for n, one in enumerate(places):
        for other in places[:n]:
            times[one, other] = times[other, one] = rng.randint(50, 250) * 100
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
    names = [one.name for one in classes]
    all_desks = tuple(
        PlanDesk(
            f"j{n:03}",
            rng.choice(places),
            rng.choice((20, 30, 40, 60)),
            20_000,
            frozenset(rng.sample(names, min(kinds, 4))),
            most_classes=3,
            fixed_cost=rng.randint(10, 40) * 100,
            agent_cost=90,
        )
        for n in range(desks)
    )
    total = 0.85 * sum(one.agents for one in all_desks) * 10
    demand = {
        (k.name, place, office.name): int(total / kinds / districts * office.share / 1000)
        for k in classes
        for place in places
        for office in offices
    }
    return Problem(places, times, offices, classes, all_desks, demand, grain=100)


def text(made: Problem) -> str:
    """A problem as the file that it would be read from."""
    lines = [f"grain_erlangs = {made.grain / 1000}"]
    for place in made.districts:
        later = made.districts[made.districts.index(place) + 1 :]
        times = ", ".join(f"{other} = {made.latencies_us[place, other] / 1000}" for other in later)
        lines += ["", "[[district]]", f'name = "{place}"', f"times_ms = {{ {times} }}"]
    for office in made.offices:
        lines += ["", "[[office]]", f'name = "{office.name}"', f"share = {office.share / 1000}"]
    for kind in made.kinds:
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
    for desk in made.desks:
        skills = ", ".join(f'"{one}"' for one in sorted(desk.skills))
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
    for (kind_name, place, office_name), units in sorted(made.demand.items()):
        lines += [
            "",
            "[[demand]]",
            f'class = "{kind_name}"',
            f'district = "{place}"',
            f'office = "{office_name}"',
            f"erlangs = {units * made.grain / 1000}",
        ]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print("# 40 desks, 5 classes, 6 districts: enough to meet a time limit; made by python -m benchmarks.problems")
    print("# seamlb plan solve examples/plan/large.toml --out plan.toml --time-limit 20")
    print(text(problem(40, 5, 6)), end="")
