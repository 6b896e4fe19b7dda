"""Which copies may serve a read: hints in statements, positions of copies, pins of sessions."""
