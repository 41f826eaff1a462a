"""Encoding and decoding; decisions never import this package."""
