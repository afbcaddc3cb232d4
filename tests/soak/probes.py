"""Probes of an agent process: OPTIONS on its front, calls to its management API, its resource usage."""

from __future__ import annotations

import asyncio
from pathlib import Path

from seamlb.protocol.sip import Message
from tests.loopback import sip_request
from tests.soak.record import Record
from tests.soak.wire import SipConnection

ANSWER_WITHIN_S = 1.0  # of an OPTIONS request


async def answers_options(address: str) -> bool:
    """Whether an OPTIONS request on a new connection gets a 200."""
    loop = asyncio.get_running_loop()
    answer: asyncio.Future[bool] = loop.create_future()

    def set_result(passed: bool) -> None:
        if not answer.done():
            answer.set_result(passed)

    def received(connection: SipConnection, message: Message) -> None:
        set_result(message.status == 200)

    host, _, port = address.rpartition(":")
    try:
        _, connection = await loop.create_connection(
            lambda: SipConnection(received, lambda connection: set_result(False)), host, int(port)
        )
    except OSError:
        return False
    connection.send(sip_request("OPTIONS", "0").encode())
    try:
        async with asyncio.timeout(ANSWER_WITHIN_S):
            return await answer
    except TimeoutError:
        return False
    finally:
        connection.close()


async def post_management_call(address: str, call: str, record: Record) -> None:
    """POST to the management API; any answer but a 200 is a violation."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"POST /admin/{call} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
    answer = await reader.read(65536)
    writer.close()
    if b" 200 " not in answer.partition(b"\r\n")[0]:
        record.audit.report(asyncio.get_running_loop().time(), "management", address, f"{call}: {answer[:60]!r}")


def resource_usage(process: int) -> tuple[float, int]:
    """Resident memory in MB and open descriptors of a process."""
    status = Path(f"/proc/{process}/status").read_text()
    memory = float(status.split("VmRSS:")[1].split()[0]) / 1024.0
    return memory, len(list(Path(f"/proc/{process}/fd").iterdir()))
