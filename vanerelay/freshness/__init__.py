"""Reads that state how fresh they have to be, and the watch of replicas that finds engines for them."""
