"""Measurements on virtual clocks."""
