"""Checkers of histories; they know nothing of the router's state."""
