"""Without its token, the operators' port shows liveness and readiness only."""

import hashlib

import anyio
import hypothesis
from hypothesis import strategies as st
import pytest

from primrosereel import settings as settings_module
from primrosereel.daemon import _driver as driver_module
from primrosereel.daemon import _metrics as metrics_module
from primrosereel.daemon import _operators as operators
from tests.property import fuzzing

TOKEN = b'the token'
TOKEN_SHA256 = hashlib.sha256(TOKEN).hexdigest()
OPEN_PATHS = ('/livez', '/readyz')
PATHS = st.one_of(
    st.sampled_from(
        (*OPEN_PATHS, '/status', '/explain/n1.1.1', '/explain/', '/drain', '/')
    ),
    st.text(max_size=12),
)
CREDENTIALS = st.one_of(
    st.binary(max_size=20),
    st.binary(max_size=12).map(b'Bearer '.__add__),
    st.just(b'Basic ' + TOKEN),
    st.just(b'Bearer ' + TOKEN_SHA256.encode()),
)


def _request(path, method, credentials, token_sha256):
    """Return the status of the response and whether a drain began."""
    sent = []
    drained = []

    async def send(message):
        sent.append(message)

    async def run():
        clock = fuzzing.FastClock()
        metrics = metrics_module.StatsdMetrics(None)
        async with anyio.create_task_group() as tasks:
            driver = driver_module.Driver(
                fuzzing.make_core(), clock, metrics, None, tasks
            )
            application = operators.OperatorApplication(
                driver,
                settings_module.Operators('', token_sha256),
                metrics,
                lambda: drained.append(True),
                lambda: False,
            )
            headers = [(b'authorization', c) for c in credentials]
            scope = {
                'type': 'http',
                'method': method,
                'path': path,
                'headers': headers,
            }
            await application(scope, None, send)

    anyio.run(run)
    return sent[0]['status'], bool(drained)


@hypothesis.settings(max_examples=100)
@hypothesis.given(
    PATHS,
    st.sampled_from(('GET', 'POST', 'HEAD')) | st.text(max_size=5),
    st.lists(CREDENTIALS, max_size=2),
    st.sampled_from((None, TOKEN_SHA256)),
)
def test_paths_need_token_except_probes(
    path, method, credentials, token_sha256
):
    """Guards against paths that show state or act without a valid token."""
    status, drained = _request(path, method, credentials, token_sha256)
    assert status == (200 if path in OPEN_PATHS else 403)
    assert not drained


@pytest.mark.parametrize(
    'path, method, status',
    [
        ('/status', 'GET', 200),
        ('/explain/n9.1.1', 'GET', 404),
        ('/drain', 'GET', 404),
        ('/drain', 'POST', 202),
    ],
)
def test_paths_work_with_token(path, method, status):
    """Guards against a check that refuses the valid token."""
    credentials = [b'Bearer ' + TOKEN]
    result = _request(path, method, credentials, TOKEN_SHA256)
    assert result == (status, status == 202)
    assert _request(path, method, credentials, None) == (403, False)
