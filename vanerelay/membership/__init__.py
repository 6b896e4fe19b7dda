"""Which engines exist: the control feed, watched files, what was last good; one merged view, its history."""
