"""Core value types that every part shares."""
