"""A toy desk and a toy caller for the platform's SIP dialect; needs only the standard library.

python examples/toy.py desk                 # answers every call and releases it after one second
python examples/toy.py call [CLASS]         # makes one call through the agent and prints the messages
"""

import asyncio
import secrets
import sys

AGENT, DESK = ("127.0.0.1", 25070), ("127.0.0.1", 25071)


def write(writer: asyncio.StreamWriter, first: str, call: str, cseq: str, *headers: str, body: str = "") -> None:
    lines = [first, "Via: SIP/2.0/TCP toy", f"Call-ID: {call}", f"CSeq: {cseq}", *headers]
    writer.write(("\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]) + body).encode())


async def read(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], str]:
    """Read a message: its first line, headers with lower-case names, and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return first, headers, (await reader.readexactly(int(headers["content-length"]))).decode()


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    free, active_calls = 4, set()

    def send_state() -> None:
        write(writer, "NOTIFY sip:exchange@net SIP/2.0", "0", "1 NOTIFY", f"X-Occupancy: idle:{free};circuits:4")

    async def release_later(call: str) -> None:
        nonlocal free
        await asyncio.sleep(1)
        if call in active_calls:
            active_calls.discard(call)
            free += 1
            write(writer, "BYE sip:caller@net SIP/2.0", call, "2 BYE", "Reason: Q.850;cause=16")
            send_state()

    send_state()
    tasks = set()
    try:
        while True:
            first, headers, _ = await read(reader)
            call, method = headers["call-id"], first.split()[0]
            if method == "INVITE" and free == 0:
                write(writer, "SIP/2.0 503 Full", call, headers["cseq"], "X-Diagnosis: atb")
            elif method == "INVITE":
                free -= 1
                active_calls.add(call)
                write(writer, "SIP/2.0 200 OK", call, headers["cseq"], body="v=0\r\ns=toy desk\r\n")
                send_state()
                tasks.add(asyncio.create_task(release_later(call)))
            elif method == "BYE":
                free += call in active_calls
                active_calls.discard(call)
                write(writer, "SIP/2.0 200 OK", call, headers["cseq"])
            print(first, flush=True)
    except asyncio.IncompleteReadError:
        writer.close()


async def desk() -> None:
    server = await asyncio.start_server(serve, *DESK)
    print("toy desk on {}:{}".format(*DESK), flush=True)
    async with server:
        await server.serve_forever()


async def call(class_name: str) -> None:
    reader, writer = await asyncio.open_connection(*AGENT)
    call_id = secrets.token_hex(8)
    headers = (f"X-Cos: {class_name}", "X-Timer-Ms: 5000", "X-Operator: pest-megye", "X-Legs: dest:0;width:1;via:-1")
    body = "v=0\r\ns=toy caller\r\n"
    write(writer, "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0", call_id, "1 INVITE", *headers, body=body)
    while True:
        first, headers_in, body = await read(reader)
        print(first, headers_in.get("reason", ""), body.replace("\r\n", " ").strip(), flush=True)
        if first.startswith("SIP/2.0 200") and headers_in["cseq"].endswith("INVITE"):
            write(writer, "ACK sip:desk@net SIP/2.0", call_id, "1 ACK")
        elif not first.startswith("SIP/2.0 1"):
            break  # refused, or released
    writer.close()


if __name__ == "__main__":
    if sys.argv[1:2] not in (["desk"], ["call"]):
        sys.exit(__doc__)
    asyncio.run(desk() if sys.argv[1] == "desk" else call(*(sys.argv[2:3] or ["alert-confirm"])))
