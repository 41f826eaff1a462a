"""The platform's append-only log: client, follower and recorder."""
