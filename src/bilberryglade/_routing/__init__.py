"""From a request to the target that owns its key and the leader in front."""
