"""Managers that know each other: who there is, on which release, and who is alive."""
