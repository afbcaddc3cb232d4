"""Where SIP messages come from and go to: flows, targets, and the Via header (RFC 3261, sections 18 and 19)."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import ip_address

from seamlb.net.address import split_address
from seamlb.net.connection import Connection
from seamlb.protocol.sip import Message, is_decimal, parameter
from seamlb.protocol.transaction import sent_by

Address = tuple[str, int]


@dataclass(slots=True)
class Flow:
    """The transport, address and connection that a request came from, to which its responses are sent."""

    transport: str
    source: Address
    connection: Connection | None = None

    @property
    def reliable(self) -> bool:
        """Whether the transport retransmits lost data."""
        return self.transport == "TCP"


@dataclass(slots=True)
class Target:
    """The transport and address that a request of ours is sent to."""

    transport: str
    address: Address


def uri_target(uri: str, default_transport: str) -> Target:
    """Returns the target of a SIP URI; ValueError for another transport, or a host name (DNS may block)."""
    rest = uri.partition(":")[2].rpartition("@")[2]
    host, *params = rest.split(";")
    transport = next((p[10:].upper() for p in params if p.lower().startswith("transport=")), default_transport)
    if transport not in ("UDP", "TCP"):
        raise ValueError(f"unsupported transport {transport!r}")
    host = host.partition("?")[0]
    address = split_address(host if ":" in host.rpartition("]")[2] else f"{host}:5060")
    ip_address(address[0])
    return Target(transport, address)


def add_source_to_via(request: Message, source: Address) -> None:
    """Adds a request's source address to its top Via header as received and rport (18.2.1, RFC 3581)."""
    for index, (name, value) in enumerate(request.headers):
        if name.lower() == "via":
            first, comma, rest = value.partition(",")
            parts = first.split(";")
            host = sent_by(first).rpartition(":")[0] or sent_by(first)
            if any(part.strip().lower() == "rport" for part in parts):
                parts = [f"rport={source[1]}" if part.strip().lower() == "rport" else part for part in parts]
                parts.append(f"received={source[0]}")
            elif host != source[0]:
                parts.append(f"received={source[0]}")
            request.headers[index] = (name, ";".join(parts) + comma + rest)
            return


def response_target(request: Message, flow: Flow) -> Target:
    """Returns where a response goes that can't be sent on the connection of its request (18.2.2).

    On TCP, that connection has closed; a new one is opened to the port that the caller listens on.
    """
    via = request.get_all("via")[0]
    _, colon, via_port = sent_by(via).rpartition(":")
    port = int(via_port) if colon and is_decimal(via_port) else 5060
    rport = parameter(via, "rport")
    if flow.transport == "UDP" and is_decimal(rport):
        port = int(rport)
    return Target(flow.transport, (flow.source[0], min(port, 65535)))
