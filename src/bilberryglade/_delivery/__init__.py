"""Delivers routed requests to targets and returns their outcomes."""
