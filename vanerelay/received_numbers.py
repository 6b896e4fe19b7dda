"""Checks that the numbers that other processes send are finite and in range, before decisions use them."""

from __future__ import annotations

import math
from typing import Any

NUMBER_LIMIT = 1e8
"""Upper bound of counts, of durations in milliseconds and of memory in MB; larger numbers are invalid."""
MAX_NUMBER_CHARACTERS = 64
"""Maximum length of a number that is sent as text."""


def number_in_range(value: Any, highest: float = NUMBER_LIMIT, lowest: float = 0.0) -> float | None:
    """Returns a received number; None if it is not a finite number from `lowest` to `highest`.

    Args:
        value: The number, or a text that states it.
        highest: The largest valid number.
        lowest: The smallest valid number.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float, str)):
        return None
    if isinstance(value, str) and (len(value) > MAX_NUMBER_CHARACTERS or not value.isascii()):
        return None
    try:
        number = float(value)
    except (ValueError, OverflowError):
        return None
    return number if math.isfinite(number) and lowest <= number <= highest else None


def checked_number(value: Any, highest: float, lowest: float = 0.0) -> float:
    """Returns a received number.

    Raises:
        ValueError: If it is not a finite number from `lowest` to `highest`.
    """
    number = None if isinstance(value, str) else number_in_range(value, highest, lowest)
    if number is None:
        raise ValueError(f"expected a number from {lowest:g} to {highest:g}")
    return number


def checked_whole_number(value: Any, highest: int) -> int:
    """Returns a received number.

    Raises:
        ValueError: If it is not a whole number from 0 to `highest`.
    """
    number = checked_number(value, highest)
    if not number.is_integer():
        raise ValueError("expected a whole number")
    return int(value)
