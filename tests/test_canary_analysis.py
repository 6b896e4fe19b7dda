"""Canary analysis on known differences: what is found, how soon, and what is blamed on nobody."""

from __future__ import annotations

import pytest

from bench.rollout import Loss, SampleGenerator
from vanerelay.interface import SECOND
from vanerelay.rollout.canary_analysis import AnalysisTerms, Assessment, CanaryAnalysis, Guard
from vanerelay.rollout.canary_metrics import GatewaySample


def generator_of(seed):
    return SampleGenerator(seed, 6, 30, classes={"look": 1.0})


def run_stage(seed, slices=300, before=60, conditions=lambda n: {}, loss=Loss()):  # noqa: B008
    """How a stage over two of six gateways ends, and after how many slices."""
    gateways, analysis = (
        generator_of(seed),
        CanaryAnalysis({"look": Guard(0.01, 0.05)}, AnalysisTerms(settle_time=0)),
    )
    for number in range(before):
        analysis.add_baseline_slice(gateways.second(**conditions(number - before)))
    analysis.begin_stage(0)
    new, old = gateways.names[:2], gateways.names[2:]
    for number in range(1, slices):
        analysis.add_stage_slice(number * SECOND, gateways.second(new, loss, **conditions(number)), new, old)
        verdict = analysis.verdict(new)
        if verdict.assessment is not Assessment.WAIT:
            return verdict, number
    return verdict, slices


@pytest.mark.parametrize(
    "loss, within",
    [(Loss(late=0.2), 40), (Loss(late=0.08), 200), (Loss(failed=0.1), 60), (Loss(slower=3.0), 40)],
)
def test_a_loss_is_found_in_time(loss, within):
    for seed in range(5):
        verdict, after = run_stage(seed, loss=loss)
        assert verdict.assessment is Assessment.WORSE and after <= within, (seed, verdict, after)


@pytest.mark.parametrize(
    "watched",
    [
        lambda n: {},
        lambda n: {"burst": 3.0, "common": 0.3} if 10 <= n < 30 else {},
        lambda n: {"common": 0.15} if n > 5 else {},
    ],
    ids=["calm", "a burst", "a bad engine for all"],
)
def test_a_change_without_effect_passes_and_what_hits_both_sides_is_blamed_on_neither(conditions):
    assessments = [run_stage(seed, conditions=conditions)[0].assessment for seed in range(20)]
    assert Assessment.WORSE not in assessments and assessments.count(Assessment.FINE) >= 16


def test_too_little_evidence_never_passes():
    analysis = CanaryAnalysis({"look": Guard()}, AnalysisTerms(settle_time=0))
    assert analysis.verdict(["m0"]).assessment is Assessment.WAIT
    gateways = generator_of(1)
    for number in range(5):
        analysis.add_stage_slice(number, gateways.second(), gateways.names[:2], gateways.names[2:])
    verdict = analysis.verdict(gateways.names[:2])
    assert verdict.assessment is Assessment.WAIT and "of 8 blocks" in verdict.reasons[0]


@pytest.mark.parametrize(
    "loss, other, assessment, says",
    [
        (Loss(), {"deaths": 1}, Assessment.WORSE, "ended by themselves"),
        (Loss(), {"memory": 0.9}, Assessment.WORSE, "memory"),
        (Loss(late=0.3), {"unreachable_engines": 3}, Assessment.WAIT, "reach"),
    ],
)
def test_processes_and_links(loss, other, assessment, expected_reason):
    gateways, analysis = generator_of(2), CanaryAnalysis({"look": Guard()}, AnalysisTerms(settle_time=2))
    new, old = gateways.names[:2], gateways.names[2:]
    analysis.add_baseline_slice(gateways.second())
    analysis.begin_stage(0)
    analysis.add_stage_slice(1, gateways.second(), new, old)
    for number in range(3, 40):
        analysis.add_stage_slice(number, gateways.second(new, loss, **other), new, old)
    verdict = analysis.verdict(new)
    assert verdict.assessment is assessment and any(
        expected_reason in reason for reason in verdict.reasons
    ), verdict


def test_a_release_that_crowds_the_others_out_is_found():
    gateways, analysis = generator_of(4), CanaryAnalysis({"look": Guard()}, AnalysisTerms(settle_time=0))
    for _ in range(40):
        analysis.add_baseline_slice(
            {name: GatewaySample(one.counts, engine_share=0.1) for name, one in gateways.second().items()}
        )
    analysis.begin_stage(0)
    new, old = gateways.names[:2], gateways.names[2:]
    for number in range(1, 60):
        samples = {
            name: GatewaySample(one.counts, engine_share=0.4 if name in new else 0.1)
            for name, one in gateways.second(old, Loss(late=0.15)).items()
        }
        analysis.add_stage_slice(number, samples, new, old)
    verdict = analysis.verdict(new)
    assert verdict.assessment is Assessment.WORSE and "of the engines" in verdict.reasons[-1], verdict


def test_a_baseline_outlives_its_controller():
    gateways, one, other = (
        generator_of(1),
        CanaryAnalysis({"look": Guard()}, AnalysisTerms()),
        CanaryAnalysis({"look": Guard()}, AnalysisTerms()),
    )
    for _ in range(40):
        one.add_baseline_slice(gateways.second())
    other.restore(one.baseline())
    assert other.baseline().latency_counts == one.baseline().latency_counts
    assert (
        [row[4:] for row in other.baseline().differences]
        == [pytest.approx(row[4:]) for row in one.baseline().differences]
        != []
    )
