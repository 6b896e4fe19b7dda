"""Checkers of histories: they read what the parties of a scenario wrote, and share no code with it.

Each checker has a function `violations(rows)`: what is wrong, in words; rows as written, in any order.
"""
