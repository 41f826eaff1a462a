"""Tests of what is learnt of targets; nothing here uses a network."""
