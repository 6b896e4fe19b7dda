"""Checkers of histories: they read what parties of a play wrote, and share no code with what they judge."""
