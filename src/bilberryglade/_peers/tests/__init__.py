"""Tests of the messages between instances."""
