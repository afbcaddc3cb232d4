"""Builds requests to servers in the platform's SIP dialect."""

from __future__ import annotations

from seamlb.protocol.sip import Message
from seamlb.routing.model import Attempt


def call_request(method: str, ident: str, number: str, *extra: tuple[str, str], body: bytes = b"") -> Message:
    """Build a request of a call from its Call-ID and the number called."""
    sequence = 2 if method == "BYE" else 1
    headers = [
        ("Via", f"SIP/2.0/TCP seamlb;branch=z9hG4bK{ident}-{sequence}"),
        ("Call-ID", ident),
        ("CSeq", f"{sequence} {method}"),
        *extra,
    ]
    return Message(method, f"sip:{number}@net", headers=headers, body=body)


def request(method: str, attempt: Attempt, *extra: tuple[str, str], body: bytes = b"") -> Message:
    """Build a request of an attempt."""
    return call_request(method, attempt.request.ident, attempt.request.number, *extra, body=body)


def invite(attempt: Attempt) -> Message:
    """Build the set-up of an attempt."""
    timer = max(1, int(attempt.timeout_ms))
    headers = ("X-Cos", attempt.request.class_name), ("X-Timer-Ms", str(timer))
    return request("INVITE", attempt, *headers, body=attempt.request.description)


def ping() -> Message:
    """Build a test, which a live process answers at once."""
    headers = [("Via", "SIP/2.0/TCP seamlb;branch=z9hG4bK-ping"), ("Call-ID", "ping"), ("CSeq", "1 OPTIONS")]
    return Message("OPTIONS", "sip:ping@net", headers=headers)


def bye(attempt: Attempt, cause: int) -> Message:
    """Build the release of an attempt's call."""
    return request("BYE", attempt, reason_header(cause))


def reason_header(cause: int) -> tuple[str, str]:
    """Build the Reason header with a Q.850 cause."""
    return "Reason", f"Q.850;cause={cause}"
