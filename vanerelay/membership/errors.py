"""The errors of this package. Each message says in one line what is wrong, for logs and for operators."""

from __future__ import annotations


class MembershipError(Exception):
    """Something about the engine list cannot be done; the subclass says what."""


class ListFileError(MembershipError):
    """A list file cannot be used."""


class FileReadError(ListFileError):
    """A list file cannot be read at all."""


class StoreError(MembershipError):
    """Accepted lists cannot be saved or loaded."""


class RequestError(MembershipError):
    """A request of an operator cannot be answered."""


class ControlSocketError(MembershipError):
    """The control socket cannot be listened on, or a running instance cannot be reached through it."""
