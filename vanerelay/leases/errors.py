"""Errors of the leases package."""

from __future__ import annotations


class LeasesError(Exception):
    """Base of all errors that this package raises."""


class StoreError(LeasesError):
    """The store can't be opened, read or written; the text says why in one line."""
