"""Errors of the rollout package."""

from __future__ import annotations


class RolloutError(Exception):
    """Base of all errors that this package raises."""


class ChangeLogError(RolloutError):
    """The controller's record can't be read or written; the text says why in one line."""
