"""The main job in about 20 seconds from a clean clone: an agent, three desks and callers on loopback.

    python examples/demo.py [SECONDS]

Calls come at 1.3 times what the desks' agents can hold, so the table shows which calls the agent keeps.
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
from toy import read, write  # the toy's framing of messages

AGENTS = {"budapest-1": 14, "szeged-1": 10, "debrecen-1": 6}
HOLDING = 1.6  # mean seconds of a call
SETUP = 0.012  # seconds that a desk's processor takes for a set-up
CLASSES = {"level-check": 0.74, "subscribe-update": 0.21, "alert-confirm": 0.05}
OFFICES = {"pest-megye": 0.54, "csongrad-megye": 0.38, "szabolcs-megye": 0.08}
LOAD = 1.3


class Desk:
    """A duty desk of the platform's dialect: agents, and a processor that takes set-ups in turn."""

    def __init__(self, name: str, agents: int) -> None:
        self.name, self.agents, self.free = name, agents, agents
        self.carried = 0
        self.processor = asyncio.Lock()
        self.writers: list[asyncio.StreamWriter] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    def tell(self, writer: asyncio.StreamWriter) -> None:
        state = f"X-Occupancy: idle:{self.free};circuits:{self.agents}"
        write(writer, "NOTIFY sip:exchange@net SIP/2.0", "0", "1 NOTIFY", state)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        self.tell(writer)
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
            await asyncio.sleep(SETUP)
        if not self.free:
            return write(writer, "SIP/2.0 503 Full", call, cseq, "X-Diagnosis: atb")
        self.free -= 1
        self.carried += 1
        write(writer, "SIP/2.0 200 OK", call, cseq, body="v=0\r\ns=demo desk\r\n")
        self.tell(writer)
        await asyncio.sleep(random.expovariate(1.0 / HOLDING))
        self.free += 1
        write(writer, "BYE sip:caller@net SIP/2.0", call, "2 BYE", "Reason: Q.850;cause=16")
        self.tell(writer)


class Callers:
    """Poisson callers over one connection; counts what each call came to."""

    def __init__(self) -> None:
        self.open: dict[str, str] = {}
        self.offered: Counter[str] = Counter()
        self.told: dict[str, Counter[str]] = {name: Counter() for name in CLASSES}

    async def listen(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, headers, _ = await read(reader)
            kind = self.open.get(headers["call-id"])
            if first.startswith("SIP/2.0") and not first.startswith("SIP/2.0 1") and kind is not None:
                del self.open[headers["call-id"]]
                stands = first.startswith("SIP/2.0 200")
                self.told[kind]["stood" if stands else "refused" if "503" in first else "failed"] += 1
                if stands:
                    write(writer, "ACK sip:desk@net SIP/2.0", headers["call-id"], "1 ACK")

    async def call(self, writer: asyncio.StreamWriter, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        rate = LOAD * sum(AGENTS.values()) / HOLDING
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(random.expovariate(rate))
            (kind,) = random.choices(list(CLASSES), list(CLASSES.values()))
            (office,) = random.choices(list(OFFICES), list(OFFICES.values()))
            ident = secrets.token_hex(8)
            self.open[ident] = kind
            self.offered[kind] += 1
            write(
                writer,
                f"INVITE sip:{secrets.token_hex(8)}@net SIP/2.0",
                ident,
                "1 INVITE",
                f"X-Cos: {kind}",
                "X-Timer-Ms: 2000",
                f"X-Operator: {office}",
                f"X-Legs: dest:{random.randrange(len(AGENTS))};width:1;via:-1",
                body="v=0\r\ns=demo caller\r\n",
            )


def port() -> int:
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return int(one.getsockname()[1])


def configuration(addresses: dict[str, str], listen: str) -> dict[str, object]:
    """The example's configuration with these desks."""
    config = json.loads((Path(__file__).parent / "config.json").read_text())
    cells = list(range(len(addresses)))
    config["listen"] = listen
    config["settings"]["Extra"]["SkilledPools"] = [cells] * len(CLASSES)
    for office in config["settings"]["Tenants"]:  # by share, a little more than the desks can carry in all
        office["AllowancePerS"] = round(office["Share"] * sum(AGENTS.values()) / HOLDING, 2)
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
        path.write_text(json.dumps(configuration({one.name: await one.start() for one in desks}, listen)))
        agent = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "seamlb", "serve", "--config", str(path), stdout=asyncio.subprocess.PIPE
        )
        assert agent.stdout is not None
        while b'"serving"' not in (line := await agent.stdout.readline()):
            if not line:
                sys.exit("the agent did not start")
        logs = asyncio.create_task(agent.stdout.read())
        print(f"agent on {listen}, {len(desks)} desks, {sum(AGENTS.values())} agents; calling for {seconds:g} s")
        await asyncio.sleep(1.0)  # the desks' first news
        callers = Callers()
        host, _, at = listen.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(at))
        listening = asyncio.create_task(callers.listen(reader, writer))
        calling = asyncio.create_task(callers.call(writer, seconds))
        while not calling.done():
            await asyncio.wait([calling], timeout=3.0)
            done = sum(sum(one.values()) for one in callers.told.values())
            print(f"  {done} of {sum(callers.offered.values())} calls answered")
        await asyncio.sleep(2.5)
        listening.cancel()
        agent.terminate()
        await logs
        print(f"\n{'class':18}{'offered':>9}{'stood':>8}{'refused':>9}{'failed':>8}{'unanswered':>12}{'stood %':>9}")
        for kind, told in callers.told.items():
            offered = callers.offered[kind]
            left = offered - sum(told.values())
            print(
                f"{kind:18}{offered:9}{told['stood']:8}{told['refused']:9}{told['failed']:8}{left:12}"
                f"{100 * told['stood'] / max(1, offered):9.1f}"
            )
        print("\n" + ", ".join(f"{one.name}: {one.carried} calls" for one in desks))
        print(f"agent ended with exit code {await agent.wait()}")


if __name__ == "__main__":
    asyncio.run(main(float(sys.argv[1]) if len(sys.argv) > 1 else 6.0))
