"""Reads a set-up of the platform's dialect (PROTOCOL) into a request for the core."""

from __future__ import annotations

import re

from seamlb import api
from seamlb.fronts.call_parameters import InvalidCallError, parse_parameters, parse_timeout
from seamlb.protocol.sip import MAX_MESSAGE_BYTES, Message
from seamlb.routing.model import Request

CALL_ID = re.compile(r"[0-9A-Fa-f]{16}")  # PROTOCOL: a Call-ID is 16 hex digits
NUMBER = re.compile(r"[0-9A-Za-z+*#._-]{1,64}")  # forwarded to desks unchanged
MAX_BODY = MAX_MESSAGE_BYTES - 1024  # bytes; the rest is for the headers that are added


def parse_set_up(message: Message, settings: api.Settings, lag_ms: float, connection: str) -> Request:
    """Return the request of an INVITE; InvalidCallError if it can't be passed on.

    `lag_ms`: the longest time for which it may have waited in this process; `connection`: the id of its connection.
    """
    ident, name = message.get("call-id"), message.get("x-cos")
    if name not in settings.class_ids:
        raise InvalidCallError("unknown class")
    if not CALL_ID.fullmatch(ident):
        raise InvalidCallError("Call-ID is not 16 hex digits")
    tenant = message.get("x-operator")
    if tenant and settings.tenant_ids and tenant not in settings.tenant_ids:
        raise InvalidCallError("unknown tenant")
    scheme, _, rest = message.uri.partition(":")
    number = rest.partition("@")[0]
    if scheme.lower() not in ("sip", "sips") or not NUMBER.fullmatch(number):
        raise InvalidCallError("not a SIP address")
    if len(message.body) > MAX_BODY:
        raise InvalidCallError("the description is too long")
    call_class = settings.classes[settings.class_ids[name]]
    parameters = parse_parameters(message.get("x-legs"), call_class)
    return Request(
        ident=ident,
        call_class=settings.class_ids[name],
        class_name=name,
        tenant=settings.tenant_ids.get(tenant, 0),
        tenant_name=tenant,
        number=number,
        patience_ms=parse_timeout(message.get("x-timer-ms"), call_class, "X-Timer-Ms"),
        destination=parameters.destination,
        slots=parameters.slots,
        via=parameters.via,
        cut_before=parameters.cut_before,
        description=message.body,
        # The caller's time runs from when it sent the request: a stall of this process must not extend it.
        sent_ms_ago=lag_ms,
        connection=connection,
    )
