"""The gateway: connections of callers, calls to runners, the store's reader.

Decisions are made in ``primrosereel.routing``; here bytes are moved, times are
kept and what happened is told to the tables.
"""
