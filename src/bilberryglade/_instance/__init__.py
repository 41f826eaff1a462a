"""One entry instance: its loops, and the root that wires the parts."""
