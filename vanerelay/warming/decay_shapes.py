"""The shapes by which demand for a table group may fade after its publication. Pure.

Exponentials of many half-lives; power laws (Crane and Sornette's relaxations); steady; as a period ago.
Shapes have height 1 at age 0; ages are in seconds.
"""

from __future__ import annotations

import math

import numpy as np
from numpy.typing import NDArray

Floats = NDArray[np.float64]
Rows = NDArray[np.int64]

TIME_CONSTANTS = np.array(
    [2, 3.5, 6, 10, 17, 30, 50, 85, 150, 260, 450, 800, 1400, 2500, 5000, 10_000, 25_000, 60_000]
)
"""Of the exponentials, in seconds: from a burst to a day, close enough that one is near any decay."""

_POWER_LAWS = [(theta, scale) for theta in (0.6, 1.0, 1.5, 2.5) for scale in (1.0, 10.0, 60.0, 600.0)]
EXPONENTS = np.array([theta for theta, _ in _POWER_LAWS])
"""Of the power laws."""
SCALES = np.array([scale for _, scale in _POWER_LAWS])
"""Of the power laws, in seconds: the age at which they begin to fade."""

SHAPE_COUNT = len(TIME_CONSTANTS) + len(_POWER_LAWS) + 2
STEADY = SHAPE_COUNT - 2
"""The place of the shape that does not fade."""
PERIODIC = SHAPE_COUNT - 1
"""The place of the shape that repeats what was a period ago."""

EXPONENTIAL_WEIGHT = 0.4
POWER_LAW_WEIGHT = 0.4
STEADY_WEIGHT = 0.1
PERIODIC_WEIGHT = 0.1


def shape_areas(begin: Floats, end: Floats) -> Floats:
    """The areas under each shape but the periodic one between two ages, a row for each pair of ages."""
    a, b = begin[:, None], end[:, None]
    exponential = TIME_CONSTANTS * (np.exp(-a / TIME_CONSTANTS) - np.exp(-b / TIME_CONSTANTS))
    is_logarithmic = np.abs(EXPONENTS - 1.0) < 1e-9
    power = np.where(is_logarithmic, 1.0, 1.0 - EXPONENTS)
    with np.errstate(over="ignore"):
        logarithmic = SCALES * (np.log1p(b / SCALES) - np.log1p(a / SCALES))
        others = SCALES / power * ((1 + b / SCALES) ** power - (1 + a / SCALES) ** power)
    return np.concatenate([exponential, np.where(is_logarithmic, logarithmic, others), b - a], axis=1)


def uninformed_weights() -> Floats:
    """Weights before anything is known: each law alike, and the shapes of one law alike."""
    weights = np.empty(SHAPE_COUNT)
    weights[: len(TIME_CONSTANTS)] = EXPONENTIAL_WEIGHT / len(TIME_CONSTANTS)
    weights[len(TIME_CONSTANTS) : STEADY] = POWER_LAW_WEIGHT / len(_POWER_LAWS)
    weights[STEADY], weights[PERIODIC] = STEADY_WEIGHT, PERIODIC_WEIGHT
    return weights


def mean_half_life(weights: Floats) -> float:
    """The weighted geometric mean of the half-lives, in seconds; inf where most weight does not fade."""
    fading = weights[:STEADY]
    half_lives = np.concatenate([TIME_CONSTANTS * math.log(2.0), SCALES * (2.0 ** (1.0 / EXPONENTS) - 1.0)])
    total = fading.sum()
    return math.exp(float(fading @ np.log(half_lives)) / total) if total > 0.5 else math.inf
