"""TOML files as msgspec tables: value types with their bounds, and decoding of a whole file."""

from __future__ import annotations

import math
import tomllib
from pathlib import Path
from typing import Annotated, TypeVar

import msgspec

from seamlb.planning.model import PlanningError

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
Cost = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
NonNegative = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
T = TypeVar("T")
MAX_FILE_BYTES = 8 << 20


class Table(msgspec.Struct, forbid_unknown_fields=True):
    """A table of a TOML file; unknown keys are rejected."""


def decode_table(path: Path, table_type: type[T]) -> T:
    """Decode a whole file as a table; PlanningError names the file, the key and the reason."""
    try:
        size = path.stat().st_size
        if size > MAX_FILE_BYTES:
            raise PlanningError(f"{path}: {size} bytes exceed the maximum file size ({MAX_FILE_BYTES})")
        raw = tomllib.loads(path.read_bytes().decode())
        _check_finite(raw, "")
        return msgspec.convert(raw, table_type)
    except OSError as error:
        raise PlanningError(f"{path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:  # msgspec's and TOML's errors are ValueErrors
        raise PlanningError(f"{path}: {error}".replace("\n", " ")) from None


def _check_finite(value: object, path: str) -> None:
    """Reject TOML's nan and inf, which the bounds of the value types do not catch."""
    if isinstance(value, float) and not math.isfinite(value):
        raise ValueError(f"{path.lstrip('.')}: not a finite number: {value}")
    if isinstance(value, dict):
        for key, item in value.items():
            _check_finite(item, f"{path}.{key}")
    elif isinstance(value, list):
        for index, item in enumerate(value):
            _check_finite(item, f"{path}[{index}]")
