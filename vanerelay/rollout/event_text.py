"""Descriptions of the events of a rolling change.

Operators' scripts may parse these texts, so they must not change.
"""

from __future__ import annotations

from vanerelay.rollout.change_plan import Plan
from vanerelay.rollout.events import Event, EventKind


def describe(event: Event, plan: Plan) -> str:
    """Returns a description of an event in one line."""
    text = _text(event, _stage_name(event.stage, plan))
    return f"{text} ({event.reason})" if event.reason else text


def _stage_name(stage: int, plan: Plan) -> str:
    return plan.stages[stage].name if stage < len(plan.stages) else str(stage)


def _text(event: Event, stage: str) -> str:
    texts: dict[str, str] = {
        EventKind.ORDERED: f"{event.gateway}: ordered to {event.target}",
        EventKind.CONFIRMED: f"{event.gateway}: confirmed",
        EventKind.CONTROL: f"{event.gateway}: restarted as it is, to compare with",
        EventKind.STAGE: f"stage {stage} begins",
        EventKind.ASSESSED: f"stage {stage} passed",
        EventKind.ROLLBACK: "going back",
        EventKind.HELD: f"held at stage {stage}",
        EventKind.ENDED: f"ended: {event.target}",
    }
    return texts.get(event.kind, str(event.kind))
