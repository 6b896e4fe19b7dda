"""The decisions: what runs, where, with how much memory, and what is rejected."""
