"""A change in stages: old and new managers side by side, stopped when a stage does worse."""
