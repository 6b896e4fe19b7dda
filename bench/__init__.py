"""Benchmarks: run by hand, each prints a table. No part of CI."""
