"""Which of the requests that compete for a target get a place there."""
