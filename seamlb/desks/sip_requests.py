"""Builds the INVITE of an attempt at a SIP desk, and its CANCEL."""

from __future__ import annotations

import secrets

from seamlb.protocol.sip import Message
from seamlb.routing.model import Attempt, Desk
from seamlb.sip.addresses import Target
from seamlb.sip.endpoint import SipEndpoint


def build_invite(endpoint: SipEndpoint, attempt: Attempt, target: Target, desk: Desk) -> Message:
    """Return the INVITE of an attempt, with a Call-ID, tag and branch of its own."""
    request = attempt.request
    headers = [
        ("Via", endpoint.via(target.transport)),
        ("Max-Forwards", "70"),
        ("From", f"<sip:seamlb@{endpoint.addresses[target.transport]}>;tag={secrets.token_hex(6)}"),
        ("To", f"<sip:{request.number}@{desk.address}>"),
        ("Call-ID", secrets.token_hex(12)),
        ("CSeq", "1 INVITE"),
        ("Contact", endpoint.contact(target.transport)),
        ("X-Cos", request.class_name),
        ("X-Timer-Ms", str(max(1, int(attempt.timeout_ms)))),
    ]
    if request.description:
        headers.append(("Content-Type", request.description_type))
    uri = f"sip:{request.number}@{desk.address}"
    return Message("INVITE", uri, headers=headers, body=request.description)


def build_cancel(invite: Message) -> Message:
    """Return the CANCEL of an INVITE, with the headers that 9.1 copies from it, above all its single Via."""
    copied = [(n, v) for n, v in invite.headers if n in ("Via", "Max-Forwards", "From", "To", "Call-ID")]
    return Message("CANCEL", invite.uri, headers=[*copied, ("CSeq", "1 CANCEL")])
