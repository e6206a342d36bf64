"""Makes the property tests deterministic."""

import hypothesis

# Every run generates the same examples. There is no deadline because CI does
# not measure the time of single examples.
hypothesis.settings.register_profile(
    'fixed', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('fixed')
