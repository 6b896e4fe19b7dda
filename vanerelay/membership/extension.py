"""The merged engine list as an extension of the served program."""

from __future__ import annotations

from vanerelay.extension import DiscoveryAnswerListener, Extension, ExtensionHost, ListListener, StartupError
from vanerelay.membership.config import MembershipConfig
from vanerelay.membership.errors import ControlSocketError
from vanerelay.membership.service import MembershipService


class MembershipExtension(Extension):
    """Stands between the control feed and the list in force."""

    membership: MembershipService

    def __init__(self, host: ExtensionHost, config: MembershipConfig) -> None:
        self._host, self._config = host, config

    def wrap_discovery(
        self, listed: ListListener, answered: DiscoveryAnswerListener | None
    ) -> tuple[ListListener, DiscoveryAnswerListener | None]:
        """Makes the service, which receives the feed's changes and hands on those of the merged list."""
        host = self._host
        self.membership = MembershipService(
            reactor=host.reactor,
            clock=host.clock,
            config=self._config,
            zones=host.zones,
            machine_kinds=host.machine_kinds,
            on_change=listed,
            on_large_change=host.large_list_applied,
        )
        return self.membership.feed_changed, self.membership.feed_alive

    @property
    def busy(self) -> bool:  # type: ignore[override]
        """Whether a change is on its way into force."""
        return self.membership.busy

    def start(self) -> None:
        """Begins to watch files and to listen on the control socket."""
        try:
            self.membership.start()
        except ControlSocketError as error:
            raise StartupError(f"the console: {error}") from error

    def stop(self) -> None:
        """Ends the watches and the control socket."""
        self.membership.stop()
