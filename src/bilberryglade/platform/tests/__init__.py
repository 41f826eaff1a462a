"""Tests of the adapter against bytes as the platform writes them."""
