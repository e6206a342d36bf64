"""Routing decisions without network or clock.

Tables hold routes, runners and budgets; functions over them decide where a
request goes, how often it is sent and when it is refused. Times are seconds
of one monotonic clock, handed in as ``now``.
"""
