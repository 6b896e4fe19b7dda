"""Errors of the rollout package."""

from __future__ import annotations


class RolloutError(Exception):
    """Base class of the errors that this package raises."""


class ChangeLogError(RolloutError):
    """The record of changes cannot be read or written; the message gives the cause in one line."""
