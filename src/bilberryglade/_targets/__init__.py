"""Targets: their HTTP protocol, life cycle and choice."""
