"""Tests of metrics and log lines."""
