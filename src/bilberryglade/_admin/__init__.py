"""The administration API: HTTP over the registered operations."""
