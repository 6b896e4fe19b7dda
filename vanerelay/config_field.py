"""Fields of configuration dataclasses whose key in the operators' files differs from the field's name."""

from __future__ import annotations

import dataclasses
from typing import Any

KEY = "key"
"""The metadata entry of a dataclass field that holds its key in the operators' files."""


def config_field(key: str, **options: Any) -> Any:
    """Returns a dataclass field that operators set under `key`; `options` go to `dataclasses.field`.

    For example `max_members: int = config_field("most", default=1000)`.
    """
    return dataclasses.field(metadata={KEY: key}, **options)
