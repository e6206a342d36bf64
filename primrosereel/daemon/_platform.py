"""The platform's configuration service and instance list over HTTP."""

import httpx
import msgspec

from primrosereel import _ids as ids
from primrosereel import _numbers as numbers
from primrosereel.core import _messages as messages
from primrosereel.daemon import _protocols as protocols
from primrosereel.daemon import _responses as responses

__all__ = ['HttpConfigurationService', 'HttpInstanceList']

REVISION_HEADER = 'X-Revision'
# How much longer than its own limit a watch may take before it fails.
WATCH_TIMEOUT_MARGIN_S = 5.0
READ_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 1_000_000


class _InstanceEntry(msgspec.Struct):
    """One entry of the instance list."""

    instance: ids.InstanceId
    incarnation: numbers.Whole
    region: ids.Region
    availability_zone: ids.AvailabilityZone
    address: str
    leaving: bool = False


class _InstanceListResponse(msgspec.Struct):
    """The response of the instance list."""

    revision: numbers.Revision
    as_of: numbers.UnixS
    instances: list[_InstanceEntry]


class HttpConfigurationService:
    """Watches the operators' configuration text for new revisions."""

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        self._client = client
        self._url = f'{url}/v1/configuration'

    async def watch(
        self,
        effect: messages.WatchConfiguration,
        deliver: protocols.Deliver,
    ) -> None:
        """Wait for a newer text than the revision that the effect names."""
        try:
            async with self._client.stream(
                'GET',
                self._url,
                params={'after': effect.after, 'wait': effect.wait_s},
                timeout=effect.wait_s + WATCH_TIMEOUT_MARGIN_S,
            ) as response:
                buffered = await responses.read(response, MAX_RESPONSE_BYTES)
            if response.status_code == 204:
                deliver(messages.ConfigurationUnchanged())
                return
            response.raise_for_status()
        except httpx.HTTPError:
            deliver(messages.ConfigurationFailed())
            return
        header = response.headers.get(REVISION_HEADER, '')
        revision = numbers.parse_whole(header.encode('latin-1', 'replace'))
        if revision is None:
            deliver(messages.ConfigurationFailed())
            return
        deliver(
            messages.ConfigurationRead(
                ids.Revision(revision), buffered.content
            )
        )


class HttpInstanceList:
    """Reads the list of live and leaving instances."""

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        self._client = client
        self._url = f'{url}/v1/instances'
        self._decoder = msgspec.json.Decoder(_InstanceListResponse)

    async def read(self, deliver: protocols.Deliver) -> None:
        """Read the list; deliver nothing if that fails."""
        try:
            async with self._client.stream(
                'GET', self._url, timeout=READ_TIMEOUT_S
            ) as response:
                buffered = await responses.read(response, MAX_RESPONSE_BYTES)
            response.raise_for_status()
            listing = self._decoder.decode(buffered.content)
        except (httpx.HTTPError, msgspec.MsgspecError):
            return
        instances = tuple(
            messages.ListedInstance(
                entry.instance,
                ids.Incarnation(entry.incarnation),
                entry.region,
                entry.availability_zone,
                entry.address,
                entry.leaving,
            )
            for entry in listing.instances
        )
        deliver(
            messages.InstanceListRead(
                listing.revision, listing.as_of, instances
            )
        )
