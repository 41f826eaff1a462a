"""Tests of the delivery of requests to targets."""
