"""Sizes memory grants from the peaks of earlier queries of the same shape.

A shape is the combination of a service class and a table group. For each shape, the estimator keeps the mean
deviation of the peaks from the corrected estimates of the service class.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from vanerelay.estimation import EstimateCorrection
from vanerelay.interface import SECOND

MIN_MARGIN = 1.25
"""The smallest ratio of a grant to the expected peak; it is larger for classes whose peaks vary more."""

BUCKET_STEP = math.log(1.12)
"""The log of the ratio between two neighbouring grant sizes. Grants are rounded up to such a size."""

ROUNDING_SLACK = 1e-9
"""The part of a step by which a size may exceed a bucket and still count as that bucket (rounding errors)."""

PAGING_MARGIN_FACTOR = 2.0
"""The factor of the margin if engines page. There a grant beyond the need takes memory from no other query,
while a grant below the need makes the query spill."""

SHAPE_LIFETIME = 30 * SECOND
"""The time, in ticks, after which a shape without a run is no longer used."""

MAX_SHAPES = 2_000
"""The number of shapes above which those that have expired are removed, and then the oldest half of the rest:
statements may name ever new table groups."""

SHAPE_RUNS = 20
"""The number of runs that a shape's offset averages. With the last peak alone, half of all grants were too
small."""

NO_TABLE_GROUP = -1
"""The table group of a query whose table group is unknown."""

SHAPE_PRIOR_RUNS = 2
"""The weight, in runs, of the initial assumption that a new shape has no offset."""


@dataclass(slots=True)
class ShapeRecord:
    """The observations of a shape.

    Attributes:
        offset: The mean log of the ratio of the peak to the corrected estimate.
        runs: The number of runs observed since the shape last expired.
        expires_at: When the shape is no longer used.
    """

    offset: float = 0.0
    runs: int = 0
    expires_at: int = 0


class MemoryEstimator:
    """Computes the sizes of memory grants, in MB, from observed peaks."""

    def __init__(self, class_count: int, engines_page: bool = False) -> None:
        self._corrections = [EstimateCorrection() for _ in range(class_count)]
        self._engines_page = engines_page
        self._margin_factor = PAGING_MARGIN_FACTOR if engines_page else 1.0
        self._shapes: dict[tuple[int, int], ShapeRecord] = {}

    def size(self, now: int, service_class: int, table_group: int, estimated: float, cap: float) -> float:
        """Returns the grant in MB, at most `cap`; 0, which lets the engine choose, if nothing is known."""
        correction = self._corrections[service_class]
        if not estimated and not correction.samples:
            return 0.0
        margin = max(math.log(MIN_MARGIN), correction.spread())
        expected = self._expected_log(now, service_class, table_group, estimated)
        wanted = expected + margin * self._margin_factor
        steps = math.ceil(wanted / BUCKET_STEP - ROUNDING_SLACK)
        return min(cap, math.exp(BUCKET_STEP * steps))

    def typical_size(self, now: int, service_class: int) -> float:
        """Returns the grant of a query of which only the class is known; 0 before the class's first run."""
        return self.size(now, service_class, NO_TABLE_GROUP, 0.0, math.inf)

    def reserved(
        self, now: int, service_class: int, table_group: int, estimated: float, grant: float
    ) -> float:
        """Returns the memory to reserve for a grant; if engines page, at most the expected need."""
        if not self._engines_page:
            return grant
        expected = self._expected_log(now, service_class, table_group, estimated)
        mean = expected + self._corrections[service_class].spread() ** 2 / 2
        return min(grant, math.exp(mean))

    def learn(self, now: int, service_class: int, table_group: int, estimated: float, peak: float) -> None:
        """Records the peak of a run; if the run spilled, this is its grant plus the missing memory."""
        correction = self._corrections[service_class]
        shape = self._shapes.get((service_class, table_group))
        if shape is None:
            self._limit_shapes(now)
            shape = self._shapes[service_class, table_group] = ShapeRecord()
        shape.runs = shape.runs + 1 if shape.expires_at > now else 1
        shape.expires_at = now + SHAPE_LIFETIME
        deviation = 0.0
        if correction.samples:
            deviation = math.log(max(peak, 1.0)) - correction.expected_log(estimated)
        shape.offset += (deviation - shape.offset) / min(shape.runs + SHAPE_PRIOR_RUNS, SHAPE_RUNS)
        correction.learn(estimated, peak)

    def _limit_shapes(self, now: int) -> None:
        if len(self._shapes) < MAX_SHAPES:
            return
        used = [(key, shape) for key, shape in self._shapes.items() if shape.expires_at > now]
        if len(used) > MAX_SHAPES // 2:
            used.sort(key=lambda entry: entry[1].expires_at)
            used = used[-(MAX_SHAPES // 2) :]
        self._shapes = dict(used)

    def forget_table_group(self, table_group: int) -> None:
        """Removes the shapes of a table group that a data load has changed."""
        self._shapes = {key: shape for key, shape in self._shapes.items() if key[1] != table_group}

    def inherit_class(self, service_class: int, old: MemoryEstimator, old_class: int) -> None:
        """Takes over the observations that another estimator has made of a class."""
        self._corrections[service_class] = old._corrections[old_class]

    def _expected_log(self, now: int, service_class: int, table_group: int, estimated: float) -> float:
        shape = self._shapes.get((service_class, table_group))
        offset = shape.offset if shape is not None and shape.expires_at > now else 0.0
        return self._corrections[service_class].expected_log(estimated) + offset
