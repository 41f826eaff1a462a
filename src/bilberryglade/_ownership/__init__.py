"""Which target owns which keys, and the leases that give it the right."""
