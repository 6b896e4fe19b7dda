"""How much of each table group will still be read: mixtures of decays, weighed as evidence comes. Pure.

After a publication demand fades by a law that nobody knows beforehand (`decay_shapes`). Each shape has an
unknown height: gamma before, gamma after Poisson counts, so that all is closed form and one
multiplication of a matrix for each slice. Shapes are weighed by how well they foretold each slice; older
evidence fades, so that a second wave of demand is believed. A group without history starts as its
publisher's others did, a publisher as all did. A group whose slice could hardly be explained begins anew.

Times are in seconds.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass

import numpy as np

from vanerelay.warming.decay_shapes import (
    SHAPE_COUNT,
    Floats,
    Rows,
    mean_half_life,
    shape_areas,
    uninformed_weights,
)
from vanerelay.warming.interval_calibration import IntervalCalibration, IssuedForecast

PERIOD_BINS = 168
"""Parts of a period: the hours of a week."""

EVIDENCE_DECAY = 0.99
"""What is left of the evidence after each slice, so that about a hundred slices count."""

EVIDENCE_TEMPER = 0.6
"""The weight of one slice's evidence: neighbouring slices are not independent."""

PRIOR_READS = 0.5
"""Reads that stand for what is known of a height beforehand."""

PRIOR_PUBLICATIONS = 3.0
"""Publications that stand for what all publishers together say of one."""

MAX_LEARNED_PUBLICATIONS = 20.0
"""Publications after which older ones of a publisher fade."""

MIN_LEARNED_READS = 5.0
"""Reads that a publication must have had so that its publisher learns of it."""

SURPRISE_DEVIATIONS = 6.0
"""Deviations above the forecast beyond which a group begins anew."""

SURPRISE_READS = 8.0
"""Reads above the forecast that it takes besides."""

RECENT_DECAY = 0.9
"""What is left of recent reads after each slice, by which the least demanded group is found."""

PUBLICATIONS_FOR_RHYTHM = 3
"""Publications from which it is seen that they come regularly."""

RHYTHM_TOLERANCE = 0.1
"""How far regular publications may be off, as a part of their distance."""

SAME_PUBLICATION_S = 1.0
"""Loads within this time are one publication."""

NOTICE_S = 15.0
"""The time after a publication within which its first reads count as the beginning of its decay."""

NO_DEMAND = 1e-6
"""The rate of the periodic shape where nothing is known of a period ago; above 0, as its logarithm counts."""


@dataclass(slots=True)
class PublisherModel:
    """What earlier publications of an owner were like: weights of shapes, how high they began, how many."""

    weights: Floats
    height: float = 1.0
    publications: float = 0.0

    def learn(self, weights: Floats, height: float) -> None:
        """Learns of one more publication."""
        self.publications += 1.0
        part = 1.0 / min(self.publications, MAX_LEARNED_PUBLICATIONS)
        self.weights = self.weights + part * (weights - self.weights)
        log_height = math.log(self.height)
        self.height = math.exp(log_height + part * (math.log(max(height, 1e-3)) - log_height))


@dataclass(frozen=True, slots=True)
class Forecast:
    """Reads of one table group within a horizon: the expected number, and an interval."""

    mean: float
    low: float
    high: float


@dataclass(frozen=True, slots=True)
class _Posterior:
    """What the heights of shapes are known to be, a row for each table group: gamma distributions."""

    shape: Floats
    rate: Floats


class DemandForecaster:
    """Forecasts for the table groups of one zone; above `max_groups` the least demanded goes.

    Attributes:
        calibration: How often intervals were right.
    """

    def __init__(self, max_groups: int = 2000, period: float = 0.0) -> None:
        """`period` is the one with which demand recurs; 0: it does not."""
        self._period = period
        self._row_of = dict[int, int]()
        self._group_of = [-1] * max_groups
        self._free_rows = list(range(max_groups - 1, -1, -1))
        self._onset = np.zeros(max_groups)  # when the decay began
        self._quiet_until = np.zeros(max_groups)  # until when a publication waits for its first reads
        self._evidence_reads = np.zeros(max_groups)
        self._evidence_areas = np.zeros((max_groups, SHAPE_COUNT))
        self._log_weights = np.zeros((max_groups, SHAPE_COUNT))
        self._prior_height = np.ones(max_groups)
        self._restarts = np.zeros(max_groups, dtype=int)
        self._total_reads = np.zeros(max_groups)
        self._recent_reads = np.zeros(max_groups)
        self._history = np.zeros((max_groups, PERIOD_BINS)) if period else np.zeros((0, 0))
        self._followed_since = np.zeros(max_groups)
        self._publisher = [""] * max_groups
        self._publications = dict[int, deque[float]]()  # by table group, the last few times
        self._publishers = dict[str, PublisherModel]()
        self._all_publishers = PublisherModel(uninformed_weights())
        self._updated_at: float | None = None
        self.calibration = IntervalCalibration()

    @property
    def groups(self) -> Collection[int]:
        """The table groups that are followed."""
        return self._row_of.keys()

    def evidence(self, table_group: int) -> float:
        """The reads that a group's decay is known by; older ones have faded."""
        return float(self._evidence_reads[self._row_of[table_group]])

    # Evidence.

    def published(self, now: float, table_group: int, publisher: str = "") -> None:
        """A table group is new from now on: what was learned of it goes to its publisher."""
        row = self._find_row(now, table_group)
        times = self._publications.setdefault(table_group, deque(maxlen=PUBLICATIONS_FOR_RHYTHM))
        if not times or now - times[-1] > SAME_PUBLICATION_S:
            times.append(now)
        if self._evidence_reads[row] > MIN_LEARNED_READS:
            self._teach_publisher(row)
        self._publisher[row] = publisher
        self._restart(row, now)
        self._quiet_until[row] = now + NOTICE_S

    def _teach_publisher(self, row: int) -> None:
        weights, heights = self._weights(np.array([row]))[0], self._heights(np.array([row]))[0]
        height = float(weights @ heights)
        own = self._publisher_model(self._publisher[row])
        if own is not self._all_publishers:
            own.learn(weights, height)
        self._all_publishers.learn(weights, height)

    def _publisher_model(self, name: str) -> PublisherModel:
        if not name:
            return self._all_publishers
        everyone = self._all_publishers
        return self._publishers.setdefault(name, PublisherModel(everyone.weights.copy(), everyone.height))

    def _restart(self, row: int, now: float) -> None:
        """A decay begins, as those of the publisher did."""
        model = self._publisher_model(self._publisher[row])
        part = model.publications / (model.publications + PRIOR_PUBLICATIONS)
        everyone = 0.5 * self._all_publishers.weights + 0.5 * uninformed_weights()
        weights = part * model.weights + (1.0 - part) * everyone
        self._log_weights[row] = np.log(np.maximum(weights, 1e-9))
        self._prior_height[row] = max(1e-3, model.height)
        self._onset[row], self._evidence_reads[row], self._evidence_areas[row] = now, 0.0, 0.0
        self._restarts[row] += 1
        self._quiet_until[row] = 0.0

    def _find_row(self, now: float, table_group: int) -> int:
        row = self._row_of.get(table_group)
        if row is not None:
            return row
        if not self._free_rows:
            self._drop_least_demanded()
        row = self._free_rows.pop()
        self._row_of[table_group], self._group_of[row] = row, table_group
        self._total_reads[row] = self._recent_reads[row] = 0.0
        self._followed_since[row], self._publisher[row] = now, ""
        if self._period:
            self._history[row] = 0.0
        self._restart(row, now)
        return row

    def _drop_least_demanded(self) -> None:
        rows = self._rows()
        least = int(rows[np.argmin(self._recent_reads[rows])])
        self._publications.pop(self._group_of[least], None)
        del self._row_of[self._group_of[least]]
        self._free_rows.append(least)

    def _rows(self) -> Rows:
        return np.array(list(self._row_of.values()))

    def update(self, now: float, reads: Mapping[int, int]) -> None:
        """Takes what was read since the update before, by table group."""
        before = self._updated_at if self._updated_at is not None else now - 1.0
        self._updated_at = now
        for group in reads:
            self._find_row(before, group)
        if not self._row_of or now <= before:
            return
        rows = self._noticed_rows(now, reads)
        if len(rows):
            self._weigh(rows, reads, before, now)
        self.calibration.judge(now, self._total_reads, self._restarts)

    def _noticed_rows(self, now: float, reads: Mapping[int, int]) -> Rows:
        """The rows that evidence counts for: a publication that nobody noticed waits for its reads."""
        rows = self._rows()
        unread = np.array([self._group_of[row] not in reads for row in rows])
        quiet = (self._quiet_until[rows] > now) & unread
        self._onset[rows[quiet]] = now
        self._quiet_until[rows[~quiet]] = 0.0
        return np.asarray(rows[~quiet])

    def _weigh(self, rows: Rows, reads: Mapping[int, int], before: float, now: float) -> None:
        """Weighs the shapes by a slice, and begins anew what it could hardly be explained by."""
        counts = np.array([reads.get(self._group_of[row], 0) for row in rows], dtype=float)
        areas = self._areas(rows, np.full(len(rows), before), np.full(len(rows), now))
        posterior = self._posterior(rows)
        mean, variance = self._moments(rows, areas, posterior)
        limit = mean + SURPRISE_DEVIATIONS * np.sqrt(variance) + SURPRISE_READS
        surprising = (counts > limit) & (self._evidence_reads[rows] > 0)
        self._update_weights(rows, counts, areas, posterior)
        self._evidence_reads[rows] = EVIDENCE_DECAY * self._evidence_reads[rows] + counts
        self._evidence_areas[rows] = EVIDENCE_DECAY * self._evidence_areas[rows] + areas
        self._total_reads[rows] += counts
        self._recent_reads[rows] = RECENT_DECAY * self._recent_reads[rows] + counts
        if self._period:
            bins = (now % self._period) / self._period * PERIOD_BINS
            self._history[rows, int(bins) % PERIOD_BINS] += counts / (now - before)
        for place in np.nonzero(surprising)[0]:
            self._begin_anew(int(rows[place]), counts[place], before, now)

    def _update_weights(self, rows: Rows, counts: Floats, areas: Floats, posterior: _Posterior) -> None:
        shape, rate = posterior.shape[:, None], posterior.rate
        log_likelihood = shape * np.log(rate / (rate + areas))
        log_likelihood = log_likelihood + counts[:, None] * np.log(areas / (rate + areas))
        relative = log_likelihood - log_likelihood.max(axis=1, keepdims=True)
        self._log_weights[rows] = EVIDENCE_DECAY * self._log_weights[rows] + EVIDENCE_TEMPER * relative
        self._log_weights[rows] -= self._log_weights[rows].max(axis=1, keepdims=True)

    def _begin_anew(self, row: int, count: float, before: float, now: float) -> None:
        self._restart(row, before)
        self._evidence_reads[row] = count
        self._evidence_areas[row] = self._areas(np.array([row]), np.array([before]), np.array([now]))[0]

    # Shapes.

    def _areas(self, rows: Rows, begin: Floats, end: Floats) -> Floats:
        """The area under each shape between two times."""
        onset = self._onset[rows]
        fading = shape_areas(np.maximum(0.0, begin - onset), np.maximum(0.0, end - onset) + 1e-9)
        return np.concatenate([fading, self._periodic_areas(rows, begin, end)], axis=1)

    def _periodic_areas(self, rows: Rows, begin: Floats, end: Floats) -> Floats:
        """As a period ago, in parts of the mean: hardly anything where nothing is known of then."""
        duration = np.maximum(end - begin, 1e-9)[:, None]
        if not self._period:
            return duration * NO_DEMAND
        bin_duration = self._period / PERIOD_BINS
        middle = ((begin + end) / 2 % self._period / bin_duration).astype(int) % PERIOD_BINS
        history = self._history[rows]
        usual = history.mean(axis=1)
        around = np.stack(
            [history[np.arange(len(rows)), (middle + step) % PERIOD_BINS] for step in (-1, 0, 1)]
        )
        known = (begin - self._followed_since[rows] >= self._period) & (usual > 0)
        rate = np.where(known, around.mean(axis=0) / np.maximum(usual, 1e-9), NO_DEMAND)
        return (np.maximum(rate, NO_DEMAND)[:, None]) * duration

    def _weights(self, rows: Rows) -> Floats:
        log_weights = self._log_weights[rows]
        weights = np.exp(log_weights - log_weights.max(axis=1, keepdims=True))
        return np.asarray(weights / weights.sum(axis=1, keepdims=True))

    def _posterior(self, rows: Rows) -> _Posterior:
        shape = PRIOR_READS + self._evidence_reads[rows]
        rate = PRIOR_READS / self._prior_height[rows][:, None] + self._evidence_areas[rows]
        return _Posterior(shape, rate)

    def _heights(self, rows: Rows) -> Floats:
        posterior = self._posterior(rows)
        return np.asarray(posterior.shape[:, None] / posterior.rate)

    def _moments(self, rows: Rows, areas: Floats, posterior: _Posterior) -> tuple[Floats, Floats]:
        """Mean and variance of the reads under these areas."""
        shape = posterior.shape[:, None]
        weights, means = self._weights(rows), shape / posterior.rate * areas
        mean = (weights * means).sum(axis=1)
        square = (weights * (means + means**2 / shape + means**2)).sum(axis=1)
        return mean, np.maximum(square - mean**2, 1e-9)

    # Forecasts.

    def forecast(self, horizon: float) -> dict[int, Forecast]:
        """Of all groups, within a horizon from the last update. Remembered, and judged once it is over."""
        if self._updated_at is None or not self._row_of:
            return {}
        rows = self._rows()
        begin = np.full(len(rows), self._updated_at)
        end = np.full(len(rows), self._updated_at + horizon)
        mean, variance = self._moments(rows, self._areas(rows, begin, end), self._posterior(rows))
        spread = np.sqrt(np.log1p(variance / np.maximum(mean, 1e-9) ** 2))
        width = self.calibration.width
        low = np.floor(mean * np.exp(-width * spread - spread**2 / 2))
        high = np.ceil(mean * np.exp(width * spread - spread**2 / 2))
        self.calibration.issue(
            IssuedForecast(
                due=self._updated_at + horizon,
                rows=rows,
                total_reads=self._total_reads[rows].copy(),
                restarts=self._restarts[rows].copy(),
                low=low,
                high=high,
            )
        )
        return {
            self._group_of[row]: Forecast(float(mean[place]), float(low[place]), float(high[place]))
            for place, row in enumerate(rows)
        }

    def read_probability(self, table_groups: list[int], shares: Floats, durations: Floats) -> Floats:
        """The probability that each group is read within its duration, at an engine of that share."""
        if self._updated_at is None or not table_groups:
            return np.zeros(len(table_groups))
        rows = np.array([self._row_of[group] for group in table_groups])
        begin = np.full(len(rows), self._updated_at)
        areas = self._areas(rows, begin, begin + durations) * shares[:, None]
        posterior = self._posterior(rows)
        log_unread = posterior.shape[:, None] * np.log(posterior.rate / (posterior.rate + areas))
        unread = (self._weights(rows) * np.exp(log_unread)).sum(axis=1)
        return np.asarray(1.0 - unread)

    def time_until_load(self, table_group: int) -> float:
        """The time until it is published again, where that comes regularly; inf: nobody can tell.

        What is read before then has to be read anew.
        """
        times = self._publications.get(table_group)
        if self._updated_at is None or times is None or len(times) < PUBLICATIONS_FOR_RHYTHM:
            return math.inf
        gaps = [later - earlier for earlier, later in zip(times, list(times)[1:], strict=False)]
        mean = sum(gaps) / len(gaps)
        deviation = max(abs(gap - mean) for gap in gaps)
        overdue = self._updated_at > times[-1] + mean * (1 + RHYTHM_TOLERANCE)
        if deviation > RHYTHM_TOLERANCE * mean or overdue:
            return math.inf
        return max(0.0, times[-1] + mean - self._updated_at)

    def half_life(self, table_group: int) -> float:
        """The time after a publication at which half as much is read; inf: demand does not fade."""
        return mean_half_life(self._weights(np.array([self._row_of[table_group]]))[0])
