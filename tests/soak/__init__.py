"""A fault soak of real gateway processes; see soak.py."""
