"""Canary analysis of known differences: which are found, how soon, and which count against no release."""

from __future__ import annotations

import pytest

from bench.rollout import Loss, SampleGenerator
from vanerelay.interface import SECOND
from vanerelay.rollout.canary_analysis import AnalysisTerms, Assessment, CanaryAnalysis, Guard
from vanerelay.rollout.canary_metrics import GatewaySample


def generator_of(seed):
    return SampleGenerator(seed, 6, 30, classes={"look": 1.0})


def run_stage(seed, slices=300, baseline_slices=60, conditions=lambda n: {}, loss=Loss()):  # noqa: B008
    """Runs a stage over two of six gateways; returns the verdict and the number of slices until it."""
    gateways, analysis = (
        generator_of(seed),
        CanaryAnalysis({"look": Guard(0.01, 0.05)}, AnalysisTerms(settle_time=0)),
    )
    for number in range(baseline_slices):
        analysis.add_baseline_slice(gateways.second(**conditions(number - baseline_slices)))
    analysis.begin_stage(0)
    new, old = gateways.names[:2], gateways.names[2:]
    for number in range(1, slices):
        analysis.add_stage_slice(number * SECOND, gateways.second(new, loss, **conditions(number)), new, old)
        verdict = analysis.verdict(new)
        if verdict.assessment is not Assessment.WAIT:
            return verdict, number
    return verdict, slices


@pytest.mark.parametrize(
    "loss, max_slices",
    [(Loss(late=0.2), 40), (Loss(late=0.08), 200), (Loss(failed=0.1), 60), (Loss(slower=3.0), 40)],
)
def test_stage_is_assessed_worse_within_the_given_slices_when_the_release_has_a_loss(loss, max_slices):
    for seed in range(5):
        verdict, slices = run_stage(seed, loss=loss)
        assert verdict.assessment is Assessment.WORSE and slices <= max_slices, (seed, verdict, slices)


@pytest.mark.parametrize(
    "conditions",
    [
        lambda n: {},
        lambda n: {"burst": 3.0, "common": 0.3} if 10 <= n < 30 else {},
        lambda n: {"common": 0.15} if n > 5 else {},
    ],
    ids=["calm", "a burst", "a bad engine for all"],
)
def test_stage_without_effect_passes_when_conditions_change_for_both_sides(conditions):
    assessments = [run_stage(seed, conditions=conditions)[0].assessment for seed in range(20)]
    assert Assessment.WORSE not in assessments and assessments.count(Assessment.FINE) >= 16


def test_stage_waits_when_there_are_too_few_blocks():
    analysis = CanaryAnalysis({"look": Guard()}, AnalysisTerms(settle_time=0))
    assert analysis.verdict(["m0"]).assessment is Assessment.WAIT
    gateways = generator_of(1)
    for number in range(5):
        analysis.add_stage_slice(number, gateways.second(), gateways.names[:2], gateways.names[2:])
    verdict = analysis.verdict(gateways.names[:2])
    assert verdict.assessment is Assessment.WAIT and "of 8 blocks" in verdict.reasons[0]


@pytest.mark.parametrize(
    "loss, other, assessment, expected_reason",
    [
        (Loss(), {"deaths": 1}, Assessment.WORSE, "ended by themselves"),
        (Loss(), {"memory": 0.9}, Assessment.WORSE, "memory"),
        (Loss(late=0.3), {"unreachable_engines": 3}, Assessment.WAIT, "reach"),
    ],
)
def test_verdict_depends_on_process_deaths_memory_and_unreachable_engines(
    loss, other, assessment, expected_reason
):
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


def test_stage_is_assessed_worse_when_new_gateways_crowd_out_the_old_ones():
    gateways, analysis = generator_of(4), CanaryAnalysis({"look": Guard()}, AnalysisTerms(settle_time=0))
    for _ in range(40):
        analysis.add_baseline_slice(
            {
                name: GatewaySample(sample.counts, engine_share=0.1)
                for name, sample in gateways.second().items()
            }
        )
    analysis.begin_stage(0)
    new, old = gateways.names[:2], gateways.names[2:]
    for number in range(1, 60):
        samples = {
            name: GatewaySample(sample.counts, engine_share=0.4 if name in new else 0.1)
            for name, sample in gateways.second(old, Loss(late=0.15)).items()
        }
        analysis.add_stage_slice(number, samples, new, old)
    verdict = analysis.verdict(new)
    assert verdict.assessment is Assessment.WORSE and "of the engines" in verdict.reasons[-1], verdict


def test_baseline_is_unchanged_when_it_is_restored_in_another_analysis():
    gateways, original, restored = (
        generator_of(1),
        CanaryAnalysis({"look": Guard()}, AnalysisTerms()),
        CanaryAnalysis({"look": Guard()}, AnalysisTerms()),
    )
    for _ in range(40):
        original.add_baseline_slice(gateways.second())
    restored.restore(original.baseline())
    assert restored.baseline().latency_counts == original.baseline().latency_counts
    assert (
        [row[4:] for row in restored.baseline().differences]
        == [pytest.approx(row[4:]) for row in original.baseline().differences]
        != []
    )
