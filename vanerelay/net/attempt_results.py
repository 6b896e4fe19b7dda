"""The results and the progress of attempts, passed on to clients and to the decisions."""

from __future__ import annotations

from collections.abc import Mapping

import structlog

from vanerelay import attempt_outcome, settings
from vanerelay.attempt_outcome import AttemptEnd
from vanerelay.clock import Clock
from vanerelay.extension import EngineRun, QueryConstraint
from vanerelay.interface import AnswerStatus, AttemptResult, Outcome
from vanerelay.invariants import InvariantGuard
from vanerelay.net import load_reports
from vanerelay.net.deadlines import Deadlines
from vanerelay.net.decisions import Decisions
from vanerelay.net.extensions import Extensions, call_extension
from vanerelay.net.held_queries import ClientQuery, OpenQueries
from vanerelay.net.query_answers import QueryAnswers
from vanerelay.net.resp_codec import ProgressNote
from vanerelay.net.service_settings import SettingsInForce
from vanerelay.net.statements import may_write

log = structlog.get_logger()


class AttemptResults:
    """Handles the progress and the ends of attempts."""

    def __init__(
        self,
        clock: Clock,
        settings_in_force: SettingsInForce,
        queries: OpenQueries,
        deadlines: Deadlines,
        guard: InvariantGuard,
        decisions: Decisions,
        answers: QueryAnswers,
        extensions: Extensions,
    ) -> None:
        self._clock = clock
        self._settings = settings_in_force
        self._queries = queries
        self._deadlines = deadlines
        self._guard = guard
        self._decisions = decisions
        self._answers = answers
        self._extensions = extensions

    def ended(self, end: AttemptEnd, query: ClientQuery, number: int, planned_at: int, engine: int) -> None:
        """Handles the end of an attempt: passes its answer to the client and its result to the decisions.

        Args:
            end: The end of the attempt.
            query: The query of the attempt.
            number: The number of the attempt within its query.
            planned_at: When the attempt was planned, in ticks.
            engine: The index of the engine.
        """
        query.in_flight -= 1
        query.attempts[number] = None
        query.last_end = f"{end.cause.value}, {end.stage.value}"
        outcome, fields = self._determine_outcome(end, query, engine)
        work = load_reports.work(end.fields)
        if query.guard_record is not None:
            self._guard.attempt_ended(query.guard_record, number, outcome, work)
        if outcome is Outcome.COMPLETED and not query.ended:
            if self._extensions.has_run_listeners:
                self._report_run(query, engine, work)
            self._answers.answer(query, AnswerStatus.COMPLETED, fields, end.rows)
        if query.handle is not None:
            result = AttemptResult(
                outcome=outcome,
                duration=self._clock.now() - planned_at,
                work=work,
                peak_memory=load_reports.peak_memory(end.fields),
                load_report=settings.load_report(
                    self._settings.current.report_names, load_reports.load_values(end.fields)
                ),
            )
            self._decisions.call(query, query.handle.attempt_ended, number, result, query.ended)
        self._queries.discard_if_done(query)
        self._deadlines.check(self._queries.open_count)

    def progressed(self, query: ClientQuery, number: int, note: ProgressNote) -> None:
        """Passes a progress note of an engine to the decisions."""
        if query.handle is not None:
            self._decisions.call(query, query.handle.attempt_progressed, number, note.kind, note.value)

    def _determine_outcome(
        self, end: AttemptEnd, query: ClientQuery, engine: int
    ) -> tuple[Outcome, Mapping[str, str]]:
        """Returns the outcome of an attempt, and the fields to send with its answer.

        An answer that the constraint of the query does not accept counts as malformed.
        """
        outcome = attempt_outcome.outcome(end)
        constraint = query.constraint
        if constraint is None or query.ended:
            return outcome, {}
        if outcome is not Outcome.COMPLETED:
            call_extension(constraint.attempt_failed, engine, outcome)
            return outcome, {}
        fields = self._accepted_fields(constraint, engine, end.fields)
        return (Outcome.MALFORMED, {}) if fields is None else (outcome, fields)

    def _accepted_fields(
        self, constraint: QueryConstraint, engine: int, fields: dict[str, str]
    ) -> dict[str, str] | None:
        """Returns the fields to send with an answer, or None if the query's constraint does not accept it."""
        try:
            return constraint.answer_fields() if constraint.accepts_answer(engine, fields) else None
        except Exception:
            log.exception("error in a query constraint, answer not passed on to the client")
            return None

    def _report_run(self, query: ClientQuery, engine: int, work: int) -> None:
        tables = query.arrival.table_group if query.arrival is not None else 0
        run = EngineRun(
            table_group=tables,
            writes=may_write(query.body),
            engine=engine,
            work=work,
            internal=query.is_internal,
        )
        self._extensions.notify_engine_ran(run)
