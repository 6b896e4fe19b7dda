"""Fields of configuration dataclasses that operators write under another name."""

from __future__ import annotations

import dataclasses
from typing import Any

KEY = "key"
"""The entry of a field's metadata that holds the name in the operators' files."""


def config_field(key: str, **options: Any) -> Any:
    """A dataclass field whose name in the operators' files is `key`; `options` as for `dataclasses.field`.

    For example `max_members: int = config_field("most", default=1000)`.
    """
    return dataclasses.field(metadata={KEY: key}, **options)
