"""Tests of the log, the relay and what they decide."""
