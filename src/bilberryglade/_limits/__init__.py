"""Limits of organisations: rate, burst, and fair queues."""
