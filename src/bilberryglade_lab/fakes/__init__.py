"""Fakes at the interfaces of the parts."""
