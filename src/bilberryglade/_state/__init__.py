"""State as a pure fold over the records of the control stream."""
