"""A soak test of real gateway processes under random faults."""
