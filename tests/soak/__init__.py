"""Randomized soak: real processes on loopback under faults that overlap, judged from outside.

`python -m tests.soak --seeds 1-50` plays seeds by hand; `tests/test_soak.py` plays a few short ones.
"""
