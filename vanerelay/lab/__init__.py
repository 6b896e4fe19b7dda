"""The laboratory: real workload managers on loopback, with models of engines, load and faults around them."""
