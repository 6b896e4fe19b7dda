"""The merged list of engines as a part of the served program."""

from __future__ import annotations

from vanerelay.extension import DiscoveryAnswerListener, Extension, ExtensionHost, ListListener, StartupError
from vanerelay.membership.config import MembershipConfig
from vanerelay.membership.service import Membership


class MembershipExtension(Extension):
    """Stands between the control feed and the list in force."""

    membership: Membership

    def __init__(self, host: ExtensionHost, parts: MembershipConfig) -> None:
        self._host, self._parts = host, parts

    def wrap_discovery(
        self, listed: ListListener, answered: DiscoveryAnswerListener | None
    ) -> tuple[ListListener, DiscoveryAnswerListener | None]:
        host = self._host
        self.membership = Membership(
            host.reactor,
            host.clock,
            self._parts,
            host.zones,
            host.machine_kinds,
            listed,
            host.large_list_applied,
        )
        return self.membership.fed, self.membership.feed_answers

    @property
    def busy(self) -> bool:  # type: ignore[override]
        return self.membership.busy

    def start(self) -> None:
        wrong = self.membership.start()
        if wrong is not None:
            raise StartupError(f"the console: {wrong}")

    def stop(self) -> None:
        self.membership.stop()
