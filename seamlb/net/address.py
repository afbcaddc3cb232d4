"""Addresses as text, and descriptors that were handed down."""

from __future__ import annotations

import socket


def split_address(address: str) -> tuple[str, int]:
    """`host:port`, the port a number; ValueError otherwise."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"not host:port: {address!r}")
    return host.strip("[]"), int(port)


def address_family(host: str) -> socket.AddressFamily:
    """The address family of a host as `split_address` gives it."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def listen_socket_error(descriptor: int) -> str:
    """Why a descriptor that was handed down can't be listened on; empty if it can."""
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
