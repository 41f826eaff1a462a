"""Decisions on the era of the store, which rises when an older copy replaces it."""
