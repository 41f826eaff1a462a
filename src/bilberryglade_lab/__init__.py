"""Deployments of stand-ins and instances for tests, demo and experiments."""
