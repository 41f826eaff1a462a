"""What each target takes well: its concurrency limit and pace, by policy."""
