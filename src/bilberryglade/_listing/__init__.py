"""The platform's lagging list of members."""
