"""What all sources together make of one engine. Pure, with the rules of the merge.

- Presence goes by precedence: the first source that lists an engine says where it is and what. One that is
  stale comes after all that are not. A complete source is the last asked: what it does not list does not
  exist.
- Removal and drain take the strictest report of any authoritative source, stale or not: an engine that one of
  them has removed is gone until that source lists it again, or the removal is older than
  `sources.REMOVAL_BINDS_FOR`.
- The latest start reported of an address counts, since an engine that warms up must not be taken for a warm
  one.
- Two ids at one address: the later start wins, then precedence, then the name.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from vanerelay.engine_list import ListedEngine
from vanerelay.interface import EngineState
from vanerelay.membership.sources import AddressIndex, Source, SourceConfig


@dataclass(frozen=True, slots=True)
class Reason:
    """Why an engine is listed as it is: the source that decided, its revision, and the rule in words."""

    source: str
    revision: int
    text: str


@dataclass(frozen=True, slots=True)
class MergeResult:
    """What comes of one engine; None where it is not listed."""

    engine: ListedEngine | None
    reason: Reason


class SourceMerge:
    """All sources, in the order of precedence, and the rules by which they are merged."""

    def __init__(self, configs: Sequence[SourceConfig], now: int) -> None:
        ordered = sorted(configs, key=lambda config: (config.precedence, config.name))
        self.ranked = [Source(config, rank, now) for rank, config in enumerate(ordered)]
        self.by_name = {source.config.name: source for source in self.ranked}
        self.addresses = AddressIndex()

    def merge(self, name: str) -> MergeResult:
        """What all sources together make of one engine."""
        for source in self.ranked:
            if source.config.authoritative and name in source.removals:
                return MergeResult(None, _reason(source, "taken off this source's list"))
        result = self._listed(name)
        engine, reason = result.engine, result.reason
        if engine is None:
            return result
        winner = self._winner_of_address(name, engine)
        if winner != name:
            text = f"its address is that of {winner}"
            return MergeResult(None, Reason(reason.source, reason.revision, text))
        draining_source = self._draining_source(name)
        if draining_source is not None and engine.state is EngineState.UP:
            drained = replace(engine, state=EngineState.DRAINING)
            return MergeResult(drained, _reason(draining_source, "drained by this source"))
        return result

    def _listed(self, name: str) -> MergeResult:
        """Presence by precedence, with the latest start and the first weight that any source reports."""
        listing_source = None
        for source in self._fresh_first():
            engine = source.engines.get(name)
            if engine is not None and engine.state is not EngineState.GONE:
                listing_source = source
                break
            if source.config.complete and source.has_reported and not source.is_stale:
                return MergeResult(None, _reason(source, "not on this source's complete list"))
        if listing_source is None:
            return MergeResult(None, Reason("", 0, "on no source's list"))
        engine = self._with_start_and_weight(listing_source.engines[name])
        return MergeResult(engine, _reason(listing_source, "listed by this source"))

    def _with_start_and_weight(self, engine: ListedEngine) -> ListedEngine:
        reports = [source.engines.get(engine.name) for source in self._fresh_first()]
        others = [other for other in reports if other is not None and other is not engine]
        same_address = [other.started_at for other in others if other.address == engine.address]
        started_at = max([engine.started_at, *same_address])
        weights = (report.weight for report in [engine, *others] if report.weight is not None)
        weight = next(weights, None)
        if (started_at, weight) == (engine.started_at, engine.weight):
            return engine
        return replace(engine, started_at=started_at, weight=weight)

    def _fresh_first(self) -> list[Source]:
        """The sources in the order in which they are asked."""
        fresh = [source for source in self.ranked if not source.is_stale]
        if len(fresh) == len(self.ranked):
            return fresh
        return fresh + [source for source in self.ranked if source.is_stale]

    def _draining_source(self, name: str) -> Source | None:
        for source in self.ranked:
            engine = source.engines.get(name)
            if source.config.authoritative and engine is not None and engine.state is EngineState.DRAINING:
                return source
        return None

    def _winner_of_address(self, name: str, engine: ListedEngine) -> str:
        """Who has the best claim on the address of an engine."""
        names = self.addresses.names_at(engine.address)
        if len(names) < 2:
            return name
        claims = []
        for claimant in names:
            if any(source.config.authoritative and claimant in source.removals for source in self.ranked):
                continue
            listed = self._listed(claimant)
            if listed.engine is not None and listed.engine.address == engine.address:
                rank = self.by_name[listed.reason.source].rank
                claims.append((-listed.engine.started_at, rank, claimant))
        return min(claims)[2] if claims else name


def _reason(source: Source, text: str) -> Reason:
    return Reason(source.config.name, source.revision, text)
