"""The scripting hook: an operator's Python file, called at two documented points; it does not decide on routes.

    def classify(call: dict) -> dict | None
        Before the module sees a sip call. `call` holds `class`, `tenant`, `number`, `transport` and `headers`
        (names in lower case). Return None to leave it unchanged, or a dict with a new `class`, `tenant` or both.

    def observe(result: dict) -> None
        After each call, of either front: `call`, `class`, `tenant`, `number`, `result`, `attempts`.

Both run in the daemon's only thread and must return immediately. A function that raises or returns an unusable value
is logged and disabled, and the call continues as if the function did not exist.
"""

from __future__ import annotations

import runpy
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from seamlb import log

T = TypeVar("T")
HOOK_POINTS = ("classify", "observe")


class HookError(Exception):
    """A file that cannot be loaded."""


class Hook:
    """The functions of one file that have not been disabled."""

    def __init__(self, path: str) -> None:
        self.path = path
        try:
            module = runpy.run_path(path)
        except Exception as error:  # an operator's file may raise anything
            raise HookError(f"{path}: {type(error).__name__}: {error}") from None
        self.functions: dict[str, Callable[[dict[str, Any]], Any]] = {
            name: module[name] for name in HOOK_POINTS if callable(module.get(name))
        }
        if not self.functions:
            raise HookError(f"{path}: defines neither classify nor observe")

    def classify(
        self, call: dict[str, Any], classes: Mapping[str, int], tenants: Mapping[str, int]
    ) -> tuple[str, str]:
        """Class and tenant of a call, as changed by the hook."""
        original = call["class"], call["tenant"]

        def check(result: Any) -> tuple[str, str]:
            if result is None:
                return original
            kind, tenant = result.get("class", original[0]), result.get("tenant", original[1])
            if kind not in classes or (tenant and tenant not in tenants):
                raise ValueError(f"unknown class or tenant: {kind!r}, {tenant!r}")
            return kind, tenant

        return self._call("classify", call, check, original)

    def observe(self, result: dict[str, Any]) -> None:
        """Pass the result of a call to the operator's function."""
        self._call("observe", result, lambda result: None, None)

    def _call(self, name: str, argument: dict[str, Any], check: Callable[[Any], T], default: T) -> T:
        function = self.functions.get(name)
        if function is None:
            return default
        try:
            return check(function(argument))
        except Exception as error:  # an error in an operator's file must not fail the call
            del self.functions[name]
            log.event("hook_disabled", file=self.path, point=name, error=repr(error), trace=log.trace(error))
            return default
