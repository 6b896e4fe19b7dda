"""The constraint of a read with a hint: what it has to hold is fixed when it is received.

Who may serve it is looked at anew for each attempt. A thin driver: `eligibility` and `session_affinity`
decide.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import structlog
from twisted.internet.defer import Deferred, DeferredList

from vanerelay.extension import ConstrainedQuery, QueryInfo
from vanerelay.freshness import eligibility
from vanerelay.freshness.constraint import FreshnessConstraint
from vanerelay.freshness.hints import Hint
from vanerelay.freshness.replication_positions import Position
from vanerelay.freshness.session_affinity import LoadEnd, SessionRecord, SessionState
from vanerelay.interface import MILLISECOND, Outcome

if TYPE_CHECKING:
    from vanerelay.freshness.constraint_router import ConstraintRouter
    from vanerelay.freshness.record_service import StoreResult

MAX_STORE_ATTEMPTS = 3
"""Attempts to store a session that other gateways move at the same time."""

LOST_OUTCOMES = frozenset({Outcome.NO_CONNECTION, Outcome.RESET, Outcome.TIMED_OUT})
"""Outcomes after which a session leaves its engine."""

POSITION_FIELD = "at"
"""The field of the client's answer that names the position it was read at."""

AGE_FIELD = "age"
"""The field that says, in milliseconds, how old an answer that the hint allows may be."""

SESSION_FIELD = "pin"
"""The field that says what became of the session."""

UNKNOWN_AGE = "unknown"

log = structlog.get_logger()


class SessionOutcome(Enum):
    """What became of a read's session; the values go to clients."""

    NEW = "new"
    KEPT = "kept"
    MOVED = "moved"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class _SentState:
    """What an engine was known to hold as an attempt went out to it.

    Attributes:
        position: Its replica's position.
        satisfied: Whether it was chosen as one that holds what is required.
        eligible: Whether it still was to be chosen.
    """

    position: Position | None
    satisfied: bool
    eligible: bool


_NOT_SENT = _SentState(None, satisfied=True, eligible=False)


@dataclass(frozen=True, slots=True)
class _Answer:
    """The answer that came last."""

    engine: str = ""
    position: Position | None = None
    satisfied: bool = True


class ReadConstraint(FreshnessConstraint):
    """The constraint of a read with a hint."""

    def __init__(
        self, router: ConstraintRouter, info: QueryInfo, hint: Hint, table_groups: tuple[int, ...]
    ) -> None:
        super().__init__(router, info)
        self._hint = hint
        self._table_groups = table_groups
        self._required = eligibility.requirement(hint, table_groups, self.received_at)
        self._chosen_by = self._required  # the requirement by which engines were chosen last
        self._satisfied = True  # whether those engines hold it, or stand in for ones that do
        self._excluded = set[str]()  # engines that this query goes to no more
        self._sent = dict[str, _SentState]()  # by engine
        self._answer = _Answer()
        self._lookups_done = False
        self._session_name = f"{hint.session}/{table_groups[0]}"
        self._session: SessionRecord | None = None
        self._session_lost = False
        self._session_outcome: SessionOutcome | None = None
        self._storing_session = False
        self._store_attempts = 0

    # What the read depends on.

    def start(self, query: ConstrainedQuery) -> None:
        """The read is held until the load and the session that it names are looked up, and engines known."""
        super().start(query)
        hint, records = self._hint, self._router.service.records
        lookups = list[Deferred[None]]()
        if hint.after_load:
            lookups.append(records.lookup_load_end(hint.after_load).addCallback(self._load_found))
        if hint.session:
            session = records.lookup_session(self._session_name, hint.session_lifetime)
            lookups.append(session.addCallback(self._session_found))
        if all(lookup.called for lookup in lookups):
            self._begin(None)
        else:
            DeferredList(lookups).addCallback(self._begin)

    def _load_found(self, end: LoadEnd | None) -> None:
        """Where the load ended; None: nobody says, and the source alone surely holds it."""
        if end is None:
            self._required = eligibility.requirement(
                self._hint, self._table_groups, self.received_at, source_only=True
            )
        elif end.table_group in self._table_groups:
            self._required = eligibility.after_load(self._required, end.table_group, end.position)

    def _session_found(self, state: SessionState) -> None:
        self._session, self._session_lost = state.record, state.lost

    def _begin(self, _: object) -> None:
        self._lookups_done = True
        self.reconsider()

    # Who may serve it.

    def reconsider(self) -> None:
        """Chooses engines by what is known now."""
        if not self._lookups_done or self._storing_session or self.is_finished:
            return
        available = self._router.engines.available().keys() - self._excluded
        if self._hint.session:
            if not self._keep_session(available):
                self._move_session(available)
            return
        choice = self._choose(self._required, available)
        self._satisfied, self._chosen_by = choice.satisfied, self._required
        self._apply(choice)

    def _choose(self, required: eligibility.ReadRequirement, available: set[str]) -> eligibility.EngineChoice:
        positions = self._router.service.positions
        return eligibility.choose_engines(positions, required, self._hint.fallback, available)

    def _apply(self, choice: eligibility.EngineChoice) -> None:
        if choice.rejected:
            self._reject()
        elif choice.engines:
            self._restrict_to(choice.engines)

    def _keep_session(self, available: set[str]) -> bool:
        """Reads at the session's engine, where that can serve the read."""
        session = self._session
        if session is None or self._session_lost or session.engine not in available:
            return False
        if not self._router.engines.is_usable(session.engine):
            return False
        required = eligibility.after_session(self._required, session.seen)
        if not eligibility.satisfies(self._router.service.positions, session.engine, required):
            return False
        self._session_outcome = self._session_outcome or SessionOutcome.KEPT
        self._satisfied, self._chosen_by = True, required
        self._restrict_to(frozenset({session.engine}))
        return True

    def _move_session(self, available: set[str]) -> None:
        """Begins the session at an engine, or moves it there, once the gateways that store it know."""
        session = self._session
        moves = session is not None or self._session_lost
        required = eligibility.strict(self._required, self.received_at) if moves else self._required
        choice = self._choose(required, available)
        if not choice.engines or choice.rejected:
            self._apply(choice)
            return
        usable = sorted(name for name in choice.engines if self._router.engines.is_usable(name))
        engine = self._router.engines.draw(usable or sorted(choice.engines))
        moved = SessionRecord(engine)
        if session is not None:
            moved = SessionRecord(engine, session.version + 1, session.seen)
        outcome = self._move_outcome(choice.satisfied)
        self._storing_session, self._chosen_by = True, required
        if self.attempted:  # it goes on at once; its answer counts once the move is settled
            self._satisfied, self._session_outcome = choice.satisfied, outcome
            self._restrict_to(frozenset({engine}))
        stored = self._router.service.records.store_session(
            self._session_name, self._hint.session_lifetime, moved
        )
        stored.addCallback(self._session_stored, moved, outcome, choice.satisfied)

    def _move_outcome(self, satisfied: bool) -> SessionOutcome:
        if self._session_lost or not satisfied:
            return SessionOutcome.LOST
        return SessionOutcome.MOVED if self._session is not None else SessionOutcome.NEW

    def _session_stored(
        self, result: StoreResult, record: SessionRecord, outcome: SessionOutcome, satisfied: bool
    ) -> None:
        self._storing_session = False
        self._store_attempts += 1
        if self.is_finished:
            return
        retries = self._store_attempts < MAX_STORE_ATTEMPTS
        if not result.settled and result.other is not None and retries:
            self._session, self._session_lost = result.other, False
            self.reconsider()
            return
        self._session, self._session_lost, self._satisfied = record, False, satisfied
        self._session_outcome = outcome if result.settled else SessionOutcome.LOST
        self._restrict_to(frozenset({record.engine}))

    # Attempts and answers.

    def attempt_sent(self, engine: int) -> None:
        """Notes what the engine is known to hold."""
        super().attempt_sent(engine)
        name = self._router.engines.name(engine)
        positions = self._router.service.positions
        eligible = not self._satisfied or eligibility.satisfies(positions, name, self._chosen_by)
        position = positions.position(name, self._table_groups[0])
        self._sent[name] = _SentState(position, self._satisfied, eligible)

    def accepts_answer(self, engine: int, fields: Mapping[str, str]) -> bool:
        """Whether the engine had what it was known to, by its own answer: it may have been restored since."""
        name, position_field = self._router.engines.name(engine), self._position_field
        sent = self._sent.get(name, _NOT_SENT)
        if self._storing_session or name in self._excluded or not sent.eligible:
            self.reconsider()
            return False
        position = Position.parse(fields.get(position_field, "")) if position_field else None
        self._answer = _Answer(name, position, sent.satisfied)
        if position_field and sent.satisfied and not self._holds_required(position, sent):
            self._distrust(name, position)
            return False
        if self._session is not None and position is not None:
            self._store_seen(self._session, position)
        return True

    @property
    def _position_field(self) -> str:
        return self._router.service.config.position_field

    def _holds_required(self, position: Position | None, sent: _SentState) -> bool:
        seen = self._session.seen if self._session is not None else None
        return eligibility.answer_satisfies(position, sent.position, self._required, seen)

    def _distrust(self, engine: str, position: Position | None) -> None:
        service, group = self._router.service, self._table_groups[0]
        log.warning(
            "replica holds less than reported", engine=engine, table_group=group, position=str(position)
        )
        service.positions.distrust(engine, group, service.clock())
        self._exclude(engine)

    def _store_seen(self, session: SessionRecord, position: Position) -> None:
        seen = max(position, session.seen) if session.seen is not None else position
        record = SessionRecord(session.engine, session.version, seen)
        self._router.service.records.store_session(self._session_name, self._hint.session_lifetime, record)

    def attempt_failed(self, engine: int, outcome: Outcome) -> None:
        """A retry may follow: among the engines that may serve the read now, not as it was received."""
        if self._hint.session and outcome in LOST_OUTCOMES:
            self._exclude(self._router.engines.name(engine))
        else:
            self.reconsider()

    def _exclude(self, engine: str) -> None:
        """The query goes elsewhere, where retries are allowed."""
        self._excluded.add(engine)
        self.reconsider()
        if self._restricted_to is not None and engine in self._restricted_to:
            self._restrict_to(self._restricted_to - {engine})

    def answer_fields(self) -> dict[str, str]:
        """What the client is told of the answer's freshness and session."""
        fields = dict[str, str]()
        if self._answer.position is not None:
            fields[POSITION_FIELD] = str(self._answer.position)
        if not self._answer.satisfied:
            fields[AGE_FIELD] = self._answer_age()
        if self._session_outcome is not None:
            fields[SESSION_FIELD] = self._session_outcome.value
        return fields

    def _answer_age(self) -> str:
        service = self._router.service
        until = eligibility.complete_until(service.positions, self._answer.engine, self._table_groups)
        if until is None:
            return UNKNOWN_AGE
        return str(max(0, service.clock() - until) // MILLISECOND)
