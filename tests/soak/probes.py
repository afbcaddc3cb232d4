"""What is asked of a process from outside: the front's test, an operator's call, what the system says it holds."""

from __future__ import annotations

import asyncio
from pathlib import Path

from seamlb.protocol.sip import Message
from tests.loopback import sip_request
from tests.soak.record import Record
from tests.soak.wire import Wire

TEST_WITHIN = 1.0  # seconds


async def passes_test(address: str) -> bool:
    """Does a test on a new connection pass?"""
    loop = asyncio.get_running_loop()
    answer: asyncio.Future[bool] = loop.create_future()

    def told(passed: bool) -> None:
        if not answer.done():
            answer.set_result(passed)

    def took(wire: Wire, message: Message) -> None:
        told(message.status == 200)

    host, _, port = address.rpartition(":")
    try:
        _, wire = await loop.create_connection(lambda: Wire(took, lambda wire: told(False)), host, int(port))
    except OSError:
        return False
    wire.send(sip_request("OPTIONS", "0").encode())
    try:
        async with asyncio.timeout(TEST_WITHIN):
            return await answer
    except TimeoutError:
        return False
    finally:
        wire.close()


async def operate(address: str, call: str, record: Record) -> None:
    """Make an operator's call; anything but a yes is a violation."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"POST /admin/{call} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
    told = await reader.read(65536)
    writer.close()
    if b" 200 " not in told.partition(b"\r\n")[0]:
        record.audit.report(asyncio.get_running_loop().time(), "management", address, f"{call}: {told[:60]!r}")


def held_by(process: int) -> tuple[float, int]:
    """Resident memory in MB and open descriptors of a process."""
    status = Path(f"/proc/{process}/status").read_text()
    memory = float(status.split("VmRSS:")[1].split()[0]) / 1024.0
    return memory, len(list(Path(f"/proc/{process}/fd").iterdir()))
