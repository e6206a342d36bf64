"""Routing decisions without network or clock.

Tables hold routes, runners and budgets; functions over them decide where a
request is sent, how often it is retried and when it is refused. Times are
seconds of one monotonic clock, passed as ``now``.
"""
