"""Sizes memory grants from the peaks of earlier queries of the same shape.

A shape is a service class with a table group. What is remembered of a shape is how far its peaks lie off what
the class's corrected estimates say.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from vanerelay.estimation import EstimateCorrection
from vanerelay.interface import SECOND

MIN_MARGIN = 1.25
"""Least factor of a grant over the expected peak; wider where peaks spread more."""

BUCKET_STEP = math.log(1.12)
"""Log of the factor between two sizes of grants. Grants are rounded up to such a size."""

ROUNDING_SLACK = 1e-9
"""In steps: a size that is a bucket's, but for rounding, stays in that bucket."""

PAGING_MARGIN_FACTOR = 2.0
"""Factor of the margin where engines page: what is granted past the need is kept from nobody there, and what
falls short spills."""

SHAPE_LIFETIME = 30 * SECOND
"""How long a shape counts after its last run."""

SHAPE_RUNS = 20
"""Runs that a shape's offset averages. With the last peak alone half of all grants fell short."""

NO_TABLE_GROUP = -1
"""Stands for a query of which not even the table group is known."""

SHAPE_PRIOR_RUNS = 2
"""Runs' worth of weight on no offset at all, when a shape is new."""


@dataclass(slots=True)
class ShapeRecord:
    """What is remembered of a shape: `offset` is the mean log of peak over corrected estimate."""

    offset: float = 0.0
    runs: int = 0
    expires_at: int = 0


class MemoryEstimator:
    """Grant sizes, learned from observed peaks."""

    def __init__(self, class_count: int, engines_page: bool = False) -> None:
        self._corrections = [EstimateCorrection() for _ in range(class_count)]
        self._engines_page = engines_page
        self._margin_factor = PAGING_MARGIN_FACTOR if engines_page else 1.0
        self._shapes: dict[tuple[int, int], ShapeRecord] = {}

    def size(self, now: int, service_class: int, table_group: int, estimated: float, cap: float) -> float:
        """The grant in MB, `cap` at most; 0 (the engine's own choice) where nothing is known."""
        correction = self._corrections[service_class]
        if not estimated and not correction.samples:
            return 0.0
        margin = max(math.log(MIN_MARGIN), correction.spread())
        expected = self._expected_log(now, service_class, table_group, estimated)
        wanted = expected + margin * self._margin_factor
        steps = math.ceil(wanted / BUCKET_STEP - ROUNDING_SLACK)
        return min(cap, math.exp(BUCKET_STEP * steps))

    def typical_size(self, now: int, service_class: int) -> float:
        """The grant of a query that nothing is known of but its class; 0 where nothing was learned."""
        return self.size(now, service_class, NO_TABLE_GROUP, 0.0, math.inf)

    def reserved(
        self, now: int, service_class: int, table_group: int, estimated: float, grant: float
    ) -> float:
        """The memory that a grant takes from its engine: where engines page, the expected need at most."""
        if not self._engines_page:
            return grant
        expected = self._expected_log(now, service_class, table_group, estimated)
        mean = expected + self._corrections[service_class].spread() ** 2 / 2
        return min(grant, math.exp(mean))

    def learn(self, now: int, service_class: int, table_group: int, estimated: float, peak: float) -> None:
        """Takes in the peak of a run; of a spill, the grant and what was missing."""
        correction = self._corrections[service_class]
        shape = self._shapes.get((service_class, table_group))
        if shape is None:
            shape = self._shapes[service_class, table_group] = ShapeRecord()
        shape.runs = shape.runs + 1 if shape.expires_at > now else 1
        shape.expires_at = now + SHAPE_LIFETIME
        deviation = 0.0
        if correction.samples:
            deviation = math.log(max(peak, 1.0)) - correction.expected_log(estimated)
        shape.offset += (deviation - shape.offset) / min(shape.runs + SHAPE_PRIOR_RUNS, SHAPE_RUNS)
        correction.learn(estimated, peak)

    def forget_table_group(self, table_group: int) -> None:
        """Forgets the shapes of tables that a data load has changed."""
        self._shapes = {key: shape for key, shape in self._shapes.items() if key[1] != table_group}

    def inherit_class(self, service_class: int, old: MemoryEstimator, old_class: int) -> None:
        """Goes on with what another estimator has learned of a class."""
        self._corrections[service_class] = old._corrections[old_class]

    def _expected_log(self, now: int, service_class: int, table_group: int, estimated: float) -> float:
        shape = self._shapes.get((service_class, table_group))
        offset = shape.offset if shape is not None and shape.expires_at > now else 0.0
        return self._corrections[service_class].expected_log(estimated) + offset
