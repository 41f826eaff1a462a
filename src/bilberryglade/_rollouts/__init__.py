"""Rollouts: a service moves to another version of its software."""
