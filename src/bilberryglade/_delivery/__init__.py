"""Delivers a routed request through the leader of its target."""
