"""Errors of the leases package."""

from __future__ import annotations


class LeasesError(Exception):
    """Base class of the package's errors."""


class StoreError(LeasesError):
    """Raised when the store can't be opened, read or written; the text is one line with the cause."""
