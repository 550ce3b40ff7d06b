"""A fault soak: the real processes under seeded faults from outside."""
