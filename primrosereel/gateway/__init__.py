"""The gateway: caller connections, calls to runners, and the store's reader.

``primrosereel.routing`` makes the routing decisions. This package does the
network input and output, enforces time limits and reports the outcome of each
call to the routing tables.
"""
