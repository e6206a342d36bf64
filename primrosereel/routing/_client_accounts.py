"""Client accounts of a configuration, and the keys that belong to them.

Keys are not kept: the index holds a keyed hash of each, with a key that only
this process knows. A lookup then costs the same for any number of keys, and
its duration tells nothing of them.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import enum
import hashlib
import re
import secrets

from primrosereel import _ids as ids

__all__ = [
    'ClientAccount',
    'ClientAccounts',
    'DuplicateKey',
    'Quota',
    'QuotaUnit',
    'is_key',
]

HASH_KEY_BYTES = 32
DIGEST_BYTES = 16
# The scheme, then one or more spaces, then a key of visible characters. A
# longer value is not looked up.
CREDENTIALS = re.compile(rb'token +([!-~]{1,1024})', re.IGNORECASE)
KEY = re.compile(rb'[!-~]{1,1024}')


class DuplicateKey(ValueError):
    """A key belongs to two accounts."""


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    REQUESTS = 'requests'
    TOKENS = 'tokens'


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """The units that all instances together may run for an account.

    ``rate`` is in units a second. A request that does not state its tokens
    counts as ``plain_units`` if the quota counts tokens.
    """

    rate: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_units: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """Who calls; ``priority`` 0 is the most urgent, None is not set.

    ``quota`` is None for an account without a limit.
    """

    name: ids.ClientAccountId
    priority: int | None = None
    quota: Quota | None = None


class ClientAccounts:
    """Finds the account that a request's key belongs to.

    Example::

        accounts = ClientAccounts([(account, [b'k7b2ex5wa5xwyhks8nbk'])])
        accounts.authenticate([b'Token k7b2ex5wa5xwyhks8nbk'])
    """

    def __init__(
        self, accounts: Iterable[tuple[ClientAccount, Iterable[bytes]]] = ()
    ) -> None:
        self._hash_key = secrets.token_bytes(HASH_KEY_BYTES)
        self._by_name: dict[ids.ClientAccountId, ClientAccount] = {}
        self._by_digest: dict[bytes, ClientAccount] = {}
        for account, keys in accounts:
            self.add(account, keys)

    def add(self, account: ClientAccount, keys: Iterable[bytes]) -> None:
        """Add an account, or more keys of one, while the index is built.

        Raises DuplicateKey for a key of another account.
        """
        self._by_name[account.name] = account
        for key in keys:
            owner = self._by_digest.setdefault(self._digest(key), account)
            if owner != account:
                raise DuplicateKey

    @property
    def by_name(self) -> dict[ids.ClientAccountId, ClientAccount]:
        """The accounts by their names."""
        return self._by_name

    def authenticate(
        self, authorization: Sequence[bytes]
    ) -> ClientAccount | None:
        """Return the account of a request's key; None if there is none.

        ``authorization`` has the values of all header fields of that name.
        """
        if len(authorization) != 1:
            return None
        credentials = CREDENTIALS.fullmatch(authorization[0].strip())
        if credentials is None:
            return None
        return self._by_digest.get(self._digest(credentials[1]))

    def _digest(self, key: bytes) -> bytes:
        return hashlib.blake2b(
            key, digest_size=DIGEST_BYTES, key=self._hash_key
        ).digest()


def is_key(key: bytes) -> bool:
    """Tell whether a key can be sent in a request."""
    return KEY.fullmatch(key) is not None
