"""The merged list of engines as a part of the served program."""

from __future__ import annotations

from vanerelay.extension import Answered, BadStart, Host, Listed, Part
from vanerelay.membership.config import Parts
from vanerelay.membership.service import Membership


class MembersPart(Part):
    """Stands between the control feed and the list in force."""

    membership: Membership

    def __init__(self, host: Host, parts: Parts) -> None:
        self._host, self._parts = host, parts

    def between(self, listed: Listed, answered: Answered | None) -> tuple[Listed, Answered | None]:
        host = self._host
        self.membership = Membership(
            host.reactor, host.clock, self._parts, host.places, host.kinds, listed, host.large
        )
        return self.membership.fed, self.membership.feed_answers

    @property
    def busy(self) -> bool:  # type: ignore[override]
        return self.membership.busy

    def begin(self) -> None:
        wrong = self.membership.start()
        if wrong is not None:
            raise BadStart(f"the console: {wrong}")

    def stop(self) -> None:
        self.membership.stop()
