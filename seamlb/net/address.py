"""Parses `host:port` addresses and checks inherited listening sockets."""

from __future__ import annotations

import socket


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port` into host and numeric port; raises ValueError for any other form."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"not host:port: {address!r}")
    return host.strip("[]"), int(port)


def address_family(host: str) -> socket.AddressFamily:
    """Return the address family of a host that `split_address` returned."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def listen_socket_error(descriptor: int) -> str:
    """Return why an inherited descriptor cannot be used as a listening socket, or "" if it can."""
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError as error:
        return error.strerror or str(error)
    try:
        return "" if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN) else "not a listening socket"
    except OSError as error:
        return error.strerror or str(error)
    finally:
        sock.detach()
