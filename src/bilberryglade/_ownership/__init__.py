"""Which target owns a slot, and the leases that say so."""
