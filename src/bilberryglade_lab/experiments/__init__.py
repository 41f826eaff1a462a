"""Experiments on a virtual clock over the pure decisions."""
