"""The composition root: the only place that constructs adapters."""

import importlib.util
import random
import signal
import socket
import ssl
import sys
from typing import Any

import anyio
import anyio.abc
import httpx
import hypercorn
import hypercorn.asyncio

from primrosereel import _ids as ids
from primrosereel import core as core_module
from primrosereel import settings as settings_module
from primrosereel.core import _messages as messages
from primrosereel.daemon import _callers as callers
from primrosereel.daemon import _clock as clock_module
from primrosereel.daemon import _driver as driver_module
from primrosereel.daemon import _engine as engine
from primrosereel.daemon import _log as log_module
from primrosereel.daemon import _metrics as metrics_module
from primrosereel.daemon import _operators as operators
from primrosereel.daemon import _parents as parents
from primrosereel.daemon import _peers as peers
from primrosereel.daemon import _plain_upstream as plain_upstream
from primrosereel.daemon import _platform as platform

__all__ = ['Daemon', 'open_listener', 'serve']

BACKLOG = 512

METRICS_FLUSH_INTERVAL_S = 1.0
# How long the servers wait for connections to close after the drain.
SERVER_CLOSE_TIMEOUT_S = 2.0
NO_KEEPALIVE = httpx.Limits(max_connections=None, max_keepalive_connections=0)
# Without 'identity' upstreams could compress responses: the headers of a plain
# response would not describe the decoded body, and streams are read undecoded.
CLIENT_HEADERS = {'accept-encoding': 'identity', 'user-agent': 'primrosereel'}


class Daemon:
    """One process: the core, its adapters and its servers."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self._settings = settings
        self._clock = clock_module.SystemClock()
        self._metrics = metrics_module.StatsdMetrics(settings.statsd)
        incarnation = settings.incarnation or int(self._clock.wall() * 1000)
        self._identity = core_module.Identity(
            settings.instance,
            ids.Incarnation(incarnation),
            settings.region,
            settings.availability_zone,
            settings.peers.address,
        )
        self._log = log_module.configure(
            settings.log_level, instance=settings.instance
        )
        self._stop_requested = anyio.Event()
        self._stopped = anyio.Event()
        self._servers_closed = anyio.Event()

    async def run(self) -> None:
        """Serve until a stop is requested and the drain has ended."""
        limits = httpx.Limits(max_connections=None)
        tls = _client_tls(self._settings.platform)
        async with (
            httpx.AsyncClient(
                limits=limits, headers=CLIENT_HEADERS, verify=tls
            ) as pooled_client,
            httpx.AsyncClient(
                limits=NO_KEEPALIVE, headers=CLIENT_HEADERS, verify=tls
            ) as unpooled_client,
            anyio.create_task_group() as tasks,
        ):
            driver = self._make_driver(tasks)
            transport = self._make_transport(tasks, driver)
            driver.set_adapters(
                engine.HttpEngineClient(
                    pooled_client, unpooled_client, self._clock
                ),
                plain_upstream.HttpPlainClient(unpooled_client, self._clock),
                platform.HttpConfigurationService(
                    pooled_client, self._settings.platform.configuration
                ),
                platform.HttpInstanceList(
                    pooled_client, self._settings.platform.instances
                ),
                transport,
            )
            server = peers.PeerServer(
                self._identity.instance,
                self._identity.incarnation,
                driver.exchange,
                self._settings.peers.tls,
            )
            await server.start(self._settings.peers.address)
            driver.handle(self._seed_list())
            tasks.start_soon(driver.run)
            tasks.start_soon(self._flush_metrics, driver)
            tasks.start_soon(self._wait_for_signal)
            tasks.start_soon(self._serve_http, driver)
            self._log.info('started', incarnation=self._identity.incarnation)
            await self._drain(driver)
            self._stopped.set()
            await server.stop(SERVER_CLOSE_TIMEOUT_S)
            # hypercorn raises if it is cancelled while it waits for open
            # connections, and the process would exit with an error.
            with anyio.move_on_after(2 * SERVER_CLOSE_TIMEOUT_S):
                await self._servers_closed.wait()
            await transport.close()
            self._log.info('stopped')
            tasks.cancel_scope.cancel()

    def _make_driver(self, tasks: anyio.abc.TaskGroup) -> driver_module.Driver:
        core = core_module.Core(self._identity, random.Random())
        return driver_module.Driver(
            core, self._clock, self._metrics, self._log, tasks
        )

    def _make_transport(self, tasks, driver) -> peers.GrpcPeerTransport:
        return peers.GrpcPeerTransport(
            self._identity.instance,
            self._identity.incarnation,
            tasks,
            self._clock,
            driver.handle,
            self._settings.peers.tls,
        )

    def _seed_list(self) -> messages.InstanceListRead:
        """Return the seeds of the settings as a list of revision 0.

        Any list that is read from the platform is newer.
        """
        seeds = [
            messages.ListedInstance(
                seed.instance,
                ids.Incarnation(0),
                self._identity.region,
                self._identity.availability_zone,
                seed.address,
            )
            for seed in self._settings.peers.seeds
            if seed.instance != self._identity.instance
        ]
        return messages.InstanceListRead(0, 0.0, tuple(seeds))

    def _request_stop(self) -> None:
        self._stop_requested.set()

    async def _wait_for_signal(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for received in signals:
                self._log.info('stop asked for', signal=received.name)
                self._request_stop()

    async def _drain(self, driver: driver_module.Driver) -> None:
        """Wait for a stop request, then for the requests in progress."""
        await self._stop_requested.wait()
        self._log.info('draining')
        await anyio.sleep(self._settings.drain.grace_s)
        driver.handle(messages.DrainRequested())
        with anyio.move_on_after(self._settings.drain.limit_s):
            await driver.drained.wait()
            return
        self._log.error('requests cut', limit_s=self._settings.drain.limit_s)

    async def _flush_metrics(self, driver: driver_module.Driver) -> None:
        while True:
            await anyio.sleep(METRICS_FLUSH_INTERVAL_S)
            for name, level in driver.core.gauges().items():
                self._metrics.gauge(name, level)
            self._metrics.flush()

    async def _serve_http(self, driver: driver_module.Driver) -> None:
        caller_application = callers.CallerApplication(
            driver,
            self._settings.callers,
            parents.Signer(self._settings.secret),
            self._clock,
            self._metrics,
            self._log,
        )
        operator_application = operators.OperatorApplication(
            driver,
            self._settings.operators,
            self._metrics,
            self._request_stop,
            self._stop_requested.is_set,
        )
        async with anyio.create_task_group() as servers:
            servers.start_soon(
                self._serve_application,
                caller_application,
                self._caller_config(),
            )
            servers.start_soon(
                self._serve_application,
                operator_application,
                self._server_config(self._settings.operators.address),
            )
        self._servers_closed.set()

    async def _serve_application(
        self, application: Any, config: hypercorn.Config
    ) -> None:
        await hypercorn.asyncio.serve(
            application, config, shutdown_trigger=self._stopped.wait
        )

    def _caller_config(self) -> hypercorn.Config:
        settings = self._settings.callers
        config = self._server_config(settings.address)
        # The readiness page has a server of its own, which may start first.
        config.bind = [f'fd://{open_listener(settings.address)}']
        config.h11_max_incomplete_size = settings.max_header_bytes * 2
        config.h2_max_header_list_size = settings.max_header_bytes * 2
        if settings.tls is not None:
            config.certfile = settings.tls.certificate
            config.keyfile = settings.tls.key
        return config

    def _server_config(self, address: str) -> hypercorn.Config:
        config = hypercorn.Config()
        config.bind = [address]
        config.graceful_timeout = SERVER_CLOSE_TIMEOUT_S
        config.accesslog = None
        config.errorlog = None
        config.include_server_header = False
        return config


def _client_tls(platform: settings_module.Platform) -> ssl.SSLContext:
    """Return the TLS context that both HTTP clients share.

    The CA certificates take 2 MB, so they are loaded only if a URL of the
    platform uses https; upstreams are called without TLS.
    """
    urls = (platform.configuration, platform.instances)
    if any(url.lower().startswith('https:') for url in urls):
        return httpx.create_ssl_context()
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


def _disable_sniffio_import() -> None:
    """Make httpcore's import of sniffio fail fast if it is not installed.

    httpcore tries the import four times a call, and Python does not cache a
    failed import: searching the path took 0.4 ms of a load poll's 2.2 ms.
    Without sniffio, httpcore assumes asyncio, on which the daemon runs.
    """
    if importlib.util.find_spec('sniffio') is None:
        sys.modules['sniffio'] = None  # type: ignore[assignment]


def open_listener(address: str) -> int:
    """Listen on an address; return the file descriptor of the socket.

    Connections are queued until a server accepts them.
    """
    host, _, port = address.rpartition(':')
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listening = socket.create_server(
        (host.strip('[]'), int(port)), family=family, backlog=BACKLOG
    )
    listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listening.detach()


async def serve(settings: settings_module.Settings) -> None:
    """Run a daemon until it has drained and stopped."""
    _disable_sniffio_import()
    await Daemon(settings).run()
