"""Metrics and log lines."""
