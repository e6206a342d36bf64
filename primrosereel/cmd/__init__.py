"""Command-line programs: the daemon, the gateway and the tool."""
