"""Requests to voters: over the fleet's links, or directly to this gateway's own voter."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred, fail
from twisted.python.failure import Failure

from vanerelay.fleet.rpc import NoReplyError, RequestRefusedError, UnknownKindError
from vanerelay.leases import messages
from vanerelay.leases.voter import Voters
from vanerelay.leases.voter_service import VoterService

ResponseHandler = Callable[[str, messages.VoteResponse], None]
"""Called with a voter's name and its response."""


class FleetLinks(Protocol):
    """The part of the fleet service that this module uses."""

    name: str

    def call(self, name: str, kind: str, body: bytes, patience_s: float) -> Deferred[bytes]:
        """Sends a request to another gateway; the Deferred fires with its reply."""
        ...


def ignore_no_reply(failure: Failure) -> None:
    """Errback for a request that was refused or got no reply: replies of the other receivers may suffice."""
    failure.trap(UnknownKindError, RequestRefusedError, NoReplyError)  # type: ignore[no-untyped-call]


class VoterClient:
    """Sends requests to voters.

    Attributes:
        local: this gateway's own voter; None where it is no voter.
        requests_sent: number of requests so far.
        era: latest era of fencing tokens that a voter has reported.
    """

    def __init__(self, fleet: FleetLinks, voters: Voters, timeout_s: float) -> None:
        self._fleet, self._voters, self._timeout_s = fleet, voters, timeout_s
        self.local: VoterService | None = None
        self.requests_sent, self.era = 0, 0
        self._stopped = False

    def request(self, voter: str, request: messages.VoteRequest) -> Deferred[messages.VoteResponse]:
        """Sends a request to one voter; the Deferred fires with its response."""
        self.requests_sent += 1
        if voter == self._fleet.name and self.local is not None:
            try:
                return self.local.answer(request)
            except RequestRefusedError as error:
                return fail(error)
        body = messages.encode(request)
        reply = self._fleet.call(voter, messages.VOTE_KIND, body, self._timeout_s)
        return reply.addCallback(_read_response)

    def request_all(self, request: messages.VoteRequest, handle: ResponseHandler) -> None:
        """Sends a request to all voters, and calls `handle` with each response that arrives."""

        def received(response: messages.VoteResponse, voter: str) -> None:
            self.era = max(self.era, response.era)
            if not self._stopped:
                handle(voter, response)

        for voter in self._voters.names:
            result: Deferred[Any] = self.request(voter, request)
            result.addCallback(received, voter)
            result.addErrback(ignore_no_reply)

    def stop(self) -> None:
        """Drops responses that arrive from now on."""
        self._stopped = True


def _read_response(body: bytes) -> messages.VoteResponse:
    response = messages.decode(body, messages.VoteResponse)
    if response is None:
        raise RequestRefusedError("unreadable")
    return response
