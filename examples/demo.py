"""A demo of about 20 seconds from a clean clone: an agent, three desks and callers on loopback.

    python examples/demo.py [SECONDS]

Calls arrive at 1.3 times the capacity of the desks' agents, so the table shows which calls the agent prefers.
"""

import asyncio
import json
import random
import secrets
import socket
import sys
import tempfile
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from toy import read, write  # message framing

AGENTS = {"budapest-1": 14, "szeged-1": 10, "debrecen-1": 6}
MEAN_HOLDING_S = 1.6  # of a call
SETUP_WORK_S = 0.012  # processor time of a desk for a set-up
CLASSES = {"level-check": 0.74, "subscribe-update": 0.21, "alert-confirm": 0.05}
OFFICES = {"pest-megye": 0.54, "csongrad-megye": 0.38, "szabolcs-megye": 0.08}
LOAD_FACTOR = 1.3  # offered calls over capacity


class Desk:
    """A desk that speaks the platform's SIP dialect; its processor handles one set-up at a time."""

    def __init__(self, name: str, agents: int) -> None:
        self.name, self.agents, self.free = name, agents, agents
        self.answered_calls = 0
        self.processor = asyncio.Lock()
        self.writers: list[asyncio.StreamWriter] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    def send_state(self, writer: asyncio.StreamWriter) -> None:
        state = f"X-Occupancy: idle:{self.free};circuits:{self.agents}"
        write(writer, "NOTIFY sip:exchange@net SIP/2.0", "0", "1 NOTIFY", state)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        self.send_state(writer)
        try:
            while True:
                first, headers, _ = await read(reader)
                if first.startswith("INVITE"):
                    task = asyncio.create_task(self.set_up(writer, headers["call-id"], headers["cseq"]))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def set_up(self, writer: asyncio.StreamWriter, call: str, cseq: str) -> None:
        async with self.processor:
            await asyncio.sleep(SETUP_WORK_S)
        if not self.free:
            return write(writer, "SIP/2.0 503 Full", call, cseq, "X-Diagnosis: atb")
        self.free -= 1
        self.answered_calls += 1
        write(writer, "SIP/2.0 200 OK", call, cseq, body="v=0\r\ns=demo desk\r\n")
        self.send_state(writer)
        await asyncio.sleep(random.expovariate(1.0 / MEAN_HOLDING_S))
        self.free += 1
        write(writer, "BYE sip:caller@net SIP/2.0", call, "2 BYE", "Reason: Q.850;cause=16")
        self.send_state(writer)


class Callers:
    """Poisson callers over one connection; counts the outcomes of the calls by class."""

    def __init__(self) -> None:
        self.open_calls: dict[str, str] = {}
        self.offered: Counter[str] = Counter()
        self.outcomes: dict[str, Counter[str]] = {name: Counter() for name in CLASSES}

    async def read_answers(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, headers, _ = await read(reader)
            class_name = self.open_calls.get(headers["call-id"])
            if first.startswith("SIP/2.0") and not first.startswith("SIP/2.0 1") and class_name is not None:
                del self.open_calls[headers["call-id"]]
                established = first.startswith("SIP/2.0 200")
                self.outcomes[class_name]["stood" if established else "refused" if "503" in first else "failed"] += 1
                if established:
                    write(writer, "ACK sip:desk@net SIP/2.0", headers["call-id"], "1 ACK")

    async def generate_calls(self, writer: asyncio.StreamWriter, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        rate = LOAD_FACTOR * sum(AGENTS.values()) / MEAN_HOLDING_S
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(random.expovariate(rate))
            (class_name,) = random.choices(list(CLASSES), list(CLASSES.values()))
            (office,) = random.choices(list(OFFICES), list(OFFICES.values()))
            call_id = secrets.token_hex(8)
            self.open_calls[call_id] = class_name
            self.offered[class_name] += 1
            write(
                writer,
                f"INVITE sip:{secrets.token_hex(8)}@net SIP/2.0",
                call_id,
                "1 INVITE",
                f"X-Cos: {class_name}",
                "X-Timer-Ms: 2000",
                f"X-Operator: {office}",
                f"X-Legs: dest:{random.randrange(len(AGENTS))};width:1;via:-1",
                body="v=0\r\ns=demo caller\r\n",
            )


def port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def configuration(addresses: dict[str, str], listen: str) -> dict[str, object]:
    """Build the configuration of the example with these desks."""
    config = json.loads((Path(__file__).parent / "config.json").read_text())
    cells = list(range(len(addresses)))
    config["listen"] = listen
    config["settings"]["Extra"]["SkilledPools"] = [cells] * len(CLASSES)
    for office in config["settings"]["Tenants"]:  # by share; slightly more in total than the desks can carry
        office["AllowancePerS"] = round(office["Share"] * sum(AGENTS.values()) / MEAN_HOLDING_S, 2)
    config["known"] = {
        "rev": 1,
        "notices": [
            {
                "rev": 1,
                "pool": {
                    "revision": 1,
                    "complete": True,
                    "members": [
                        {
                            "id": name,
                            "host_port": address,
                            "locality": name.partition("-")[0],
                            "flavor": "desk",
                            "cell": cell,
                            "phase": "Ready",
                            "size": 1,
                            "up_since_ms": 0,
                        }
                        for cell, (name, address) in zip(cells, addresses.items(), strict=True)
                    ],
                },
            }
        ],
    }
    return config


async def main(seconds: float) -> None:
    desks = [Desk(name, agents) for name, agents in AGENTS.items()]
    listen = f"127.0.0.1:{port()}"
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(configuration({desk.name: await desk.start() for desk in desks}, listen)))
        agent = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "seamlb", "serve", "--config", str(path), stdout=asyncio.subprocess.PIPE
        )
        assert agent.stdout is not None
        while b'"serving"' not in (line := await agent.stdout.readline()):
            if not line:
                sys.exit("the agent did not start")
        log_reader = asyncio.create_task(agent.stdout.read())
        print(f"agent on {listen}, {len(desks)} desks, {sum(AGENTS.values())} agents; calling for {seconds:g} s")
        await asyncio.sleep(1.0)  # until the desks have sent their first state
        callers = Callers()
        host, _, port_number = listen.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port_number))
        reading = asyncio.create_task(callers.read_answers(reader, writer))
        generating = asyncio.create_task(callers.generate_calls(writer, seconds))
        while not generating.done():
            await asyncio.wait([generating], timeout=3.0)
            answered_count = sum(sum(counts.values()) for counts in callers.outcomes.values())
            print(f"  {answered_count} of {sum(callers.offered.values())} calls answered")
        await asyncio.sleep(2.5)
        reading.cancel()
        agent.terminate()
        await log_reader
        print(f"\n{'class':18}{'offered':>9}{'stood':>8}{'refused':>9}{'failed':>8}{'unanswered':>12}{'stood %':>9}")
        for class_name, outcomes in callers.outcomes.items():
            offered = callers.offered[class_name]
            unanswered = offered - sum(outcomes.values())
            print(
                f"{class_name:18}{offered:9}{outcomes['stood']:8}{outcomes['refused']:9}{outcomes['failed']:8}{unanswered:12}"
                f"{100 * outcomes['stood'] / max(1, offered):9.1f}"
            )
        print("\n" + ", ".join(f"{desk.name}: {desk.answered_calls} calls" for desk in desks))
        print(f"agent ended with exit code {await agent.wait()}")


if __name__ == "__main__":
    asyncio.run(main(float(sys.argv[1]) if len(sys.argv) > 1 else 6.0))
