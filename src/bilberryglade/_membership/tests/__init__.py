"""Tests of membership and authority."""
