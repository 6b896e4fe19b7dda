"""Which engines exist: discovery, watched list files and the store, merged into one view."""
