"""Simulations, measurements and demonstrations."""
