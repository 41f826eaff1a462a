"""Operators' operations, behind both the command line and the API."""
