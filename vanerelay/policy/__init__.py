"""The decisions: what runs, where, with how much memory, and what is rejected.

`gateway` has the ordinary path of a query; each other module has one concern of it, with every tuned value of
that concern as a constant. Times are in ticks of a tenth of a millisecond, memory is in MB. Nothing here does
I/O, reads a clock or draws chance that it was not given.
"""
