"""Settings that cannot be kept are refused."""

import pytest
from returns import pipeline

from primrosereel import platform
from tests.property import test_fuzz_platform


@pytest.mark.parametrize('value', [b'nan', b'inf', b'-1'])
@pytest.mark.parametrize('name', [b'graceS', b'drainMs'])
def test_bounds_that_are_no_durations_are_refused(name, value):
    """Guards against a reload after which a stop cuts all requests.

    With such a grace the time for requests in progress was over at once.
    """
    lines = [
        name + b' = ' + value if line.startswith(name) else line
        for line in test_fuzz_platform.SETTINGS.splitlines()
    ]
    parsed = platform.read_settings(b'\n'.join(lines))
    assert not pipeline.is_successful(parsed)
    assert name.decode() in parsed.failure()
