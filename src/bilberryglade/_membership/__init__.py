"""Heartbeats between instances and what follows from them."""
