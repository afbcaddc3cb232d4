"""Tables of TOML files, checked by msgspec: the kinds of value, and how a whole file is read."""

from __future__ import annotations

import math
import tomllib
from pathlib import Path
from typing import Annotated, TypeVar

import msgspec

from seamlb.planning.model import PlanningError

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Whole = Annotated[int, msgspec.Meta(ge=0)]
Cost = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
Above = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
Figure = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Part = Annotated[float, msgspec.Meta(ge=0, le=1)]
T = TypeVar("T")
MOST_BYTES = 8 << 20


class Table(msgspec.Struct, forbid_unknown_fields=True):
    """A table of a file; a key that it does not have is an error."""


def decode_table(path: Path, form: type[T]) -> T:
    """One file as its table; PlanningError names file, key and reason."""
    try:
        size = path.stat().st_size
        if size > MOST_BYTES:
            raise PlanningError(f"{path}: {size} bytes are more than a file may have ({MOST_BYTES})")
        raw = tomllib.loads(path.read_bytes().decode())
        _finite(raw, "")
        return msgspec.convert(raw, form)
    except OSError as error:
        raise PlanningError(f"{path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:  # msgspec's and TOML's errors are ValueErrors
        raise PlanningError(f"{path}: {error}".replace("\n", " ")) from None


def _finite(value: object, where: str) -> None:
    """TOML has nan and inf, for which no bound of a form holds."""
    if isinstance(value, float) and not math.isfinite(value):
        raise ValueError(f"{where.lstrip('.')}: not a number that can be used: {value}")
    if isinstance(value, dict):
        for key, one in value.items():
            _finite(one, f"{where}.{key}")
    elif isinstance(value, list):
        for place, one in enumerate(value):
            _finite(one, f"{where}[{place}]")
