"""Requests that an endpoint receives: their server transactions, and what is kept of those that were answered."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from seamlb import log
from seamlb.memory import TRANSACTION_BYTES
from seamlb.protocol.server_transaction import InviteServer, NonInviteServer
from seamlb.protocol.sip import RESPONSE_HEADERS, Message, response
from seamlb.protocol.transaction import Key, State, server_key
from seamlb.sip.addresses import Flow, Target, add_source_to_via, response_target
from seamlb.sip.answered import AnsweredRequests
from seamlb.sip.transaction_table import now
from seamlb.sip.transactions import TransactionEntry

if TYPE_CHECKING:
    from seamlb.sip.endpoint import SipEndpoint

MAX_TRANSACTIONS = 16384  # each is kept for up to 32 s; INVITEs beyond are answered with 503


class IncomingRequests:
    """Passes requests to the endpoint's `on_request`, each once.

    An INVITE for which there is no room is refused. Other requests are processed in any event: a BYE that is refused
    would leave a call standing.
    """

    def __init__(self, endpoint: SipEndpoint) -> None:
        self.endpoint, self.table, self.memory = endpoint, endpoint.table, endpoint.memory
        self.answered = AnsweredRequests(self.memory)

    def receive(self, message: Message, flow: Flow) -> None:
        """Handle a request with Via, From and To, or an ACK."""
        key = server_key(message)
        entry = self.table.incoming.get(key)
        if entry and isinstance(entry.machine, (InviteServer, NonInviteServer)):
            return self.table.apply(entry, entry.machine.receive(message, now()))
        answer = self.answered.get(now(), key)
        if message.method == "ACK":
            if answer is None:
                self.endpoint.on_ack(message)
            return
        add_source_to_via(message, flow.source)
        target = response_target(message, flow)
        if answer is not None:
            return self.endpoint.send_response(answer, flow, target)
        held_bytes = _transaction_bytes(message)
        on_request = self.endpoint.on_request
        is_kept = len(self.table.incoming) < MAX_TRANSACTIONS and self.memory.admits(held_bytes)
        if on_request is None or (message.method == "INVITE" and not is_kept):
            refusal = response(message, 503, tag=secrets.token_hex(4))
            return self.endpoint.send_response(refusal.encode(), flow, target)
        entry = self._server_transaction(key, message, flow, target)
        if is_kept:
            self.table.add_incoming(entry, held_bytes)
        on_request(message, entry, flow)
        self._keep_answer_only(entry, is_kept)

    def _server_transaction(self, key: Key, message: Message, flow: Flow, target: Target) -> TransactionEntry:
        """Create the transaction of a request; nothing in it keeps the request."""
        machine = InviteServer(flow.reliable) if message.method == "INVITE" else NonInviteServer(flow.reliable)
        ident = message.get("call-id")
        entry = TransactionEntry(
            key,
            machine,
            lambda outbound: self.endpoint.send_response(outbound.encode(), flow, target, on_error),
            self.endpoint.on_ack,
            lambda cause: log.event("no_ack", kind=self.endpoint.kind, call=ident, how=cause),
        )

        def on_error(cause: str) -> None:
            on_failure = entry.on_failure
            if machine.fail():
                self.table.update(entry)
                on_failure(cause)

        self.table.carry(entry, flow.connection)
        return entry

    def _keep_answer_only(self, entry: TransactionEntry, is_kept: bool) -> None:
        """Replace a transaction that was refused or answered at once by its answer, which copies of it get again.

        An INVITE that got a provisional response is not repeated by its client: its final one is, on timer G.
        """
        machine = entry.machine
        if isinstance(machine, (InviteServer, NonInviteServer)) and machine.state is State.COMPLETED:
            if machine.last_response and not machine.reliable:
                self.answered.add(now(), entry.key, machine.last_response.encode())
            self.table.remove(entry)
        elif not is_kept:
            self.table.remove(entry)


def _transaction_bytes(request: Message) -> int:
    """The memory that a server transaction holds: text takes up to four bytes a character."""
    kept = (len(value) for name, value in request.headers if name.lower() in RESPONSE_HEADERS)
    return TRANSACTION_BYTES + 4 * sum(kept)
