"""Fixes the seeds of the property tests."""

import hypothesis

# The same examples on every run; no deadline, since CI times nothing.
hypothesis.settings.register_profile(
    'fixed', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('fixed')
