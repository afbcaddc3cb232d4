"""The scripting hook: an operator's Python file, called at two documented points; it never decides a route.

    def classify(call: dict) -> dict | None
        Before the module sees a sip call. `call` holds `class`, `tenant`, `number`, `transport` and `headers`
        (names in lower case). Return None to leave it as it is, or a dict with a new `class`, `tenant` or both.

    def observe(result: dict) -> None
        After each call, of either front: `call`, `class`, `tenant`, `number`, `result`, `attempts`.

Both run in the daemon's one thread and must return at once. One that raises, or returns what can't be used, is
logged and disabled; the call goes on as if it were not there.
"""

from __future__ import annotations

import runpy
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from seamlb import log

T = TypeVar("T")
POINTS = ("classify", "observe")


class HookError(Exception):
    """A file that can't be loaded."""


class Hook:
    """The functions of one file that are still in use."""

    def __init__(self, path: str) -> None:
        self.path = path
        try:
            found = runpy.run_path(path)
        except Exception as error:  # whatever an operator's file may raise
            raise HookError(f"{path}: {type(error).__name__}: {error}") from None
        self.functions: dict[str, Callable[[dict[str, Any]], Any]] = {
            name: found[name] for name in POINTS if callable(found.get(name))
        }
        if not self.functions:
            raise HookError(f"{path}: neither classify nor observe is there")

    def classify(
        self, call: dict[str, Any], classes: Mapping[str, int], tenants: Mapping[str, int]
    ) -> tuple[str, str]:
        """Class and tenant of a call, the hook's where it names known ones."""
        given = call["class"], call["tenant"]

        def check(told: Any) -> tuple[str, str]:
            if told is None:
                return given
            kind, tenant = told.get("class", given[0]), told.get("tenant", given[1])
            if kind not in classes or (tenant and tenant not in tenants):
                raise ValueError(f"unknown class or tenant: {kind!r}, {tenant!r}")
            return kind, tenant

        return self._call("classify", call, check, given)

    def observe(self, result: dict[str, Any]) -> None:
        """Tell the operators' file what became of a call."""
        self._call("observe", result, lambda told: None, None)

    def _call(self, name: str, facts: dict[str, Any], check: Callable[[Any], T], otherwise: T) -> T:
        function = self.functions.get(name)
        if function is None:
            return otherwise
        try:
            return check(function(facts))
        except Exception as error:  # an operator's fault must not cost a call
            del self.functions[name]
            log.event("hook_disabled", file=self.path, point=name, error=repr(error), trace=log.trace(error))
            return otherwise
