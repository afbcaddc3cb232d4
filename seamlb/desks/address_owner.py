"""Which server of the list is at an address that several have: the list may be late to tell that one has gone."""

from __future__ import annotations

from collections.abc import Iterable

from seamlb.routing.model import Desk


def address_owner(address: str, desks: Iterable[Desk]) -> Desk | None:
    """Return the server that started last at an address; of equals, as with unknown starts, the one listed last.

    PROTOCOL: "A new duty desk may have the address of a duty desk that has gone."
    """
    at_address = [desk for desk in desks if desk.address == address]
    return sorted(at_address, key=lambda desk: desk.since_ms)[-1] if at_address else None
