"""HTTP client for the platform's key-value service, based on urllib3.

The client never retries a write: after a lost answer, only the caller knows
what was written and can decide what to do.
"""

import dataclasses

import expression
import msgspec
import urllib3

from hyssoptack.core import decoding
from hyssoptack.settings import instance

ABSENT_VERSION = 0
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
MS_PER_S = 1000.0
POOL_COUNT = 32
WATCH_MARGIN_MS = 1_000.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stored:
    """A stored value and its version."""

    value: str
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Absent:
    """The store holds no value for the key."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """The key is at another version; nothing was written.

    Attributes:
        current_value: Value that the store holds for the key.
    """

    current_value: Stored | Absent


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unavailable:
    """No usable answer came; a write may or may not have taken effect."""

    detail: str


ReadResult = Stored | Absent
WriteFailure = Conflict | Unavailable

_DECODER = msgspec.json.Decoder(Stored)


class StoreClient:
    """Blocking client, to be called on threads outside the event loop."""

    def __init__(self, settings: instance.PlatformSettings):
        self._settings = settings
        host, _, port = settings.store_address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=POOL_COUNT, retries=False
        )

    def get(self, key: str) -> expression.Result[ReadResult, Unavailable]:
        """Returns the value of a key."""
        return self._read(f"/kv/{key}", self._settings.timeout_ms)

    def watch(
        self, key: str, after_version: int
    ) -> expression.Result[ReadResult, Unavailable]:
        """Waits until a value has a later version or the long poll ends.

        Args:
            key: The key.
            after_version: Version to wait past; a later one is returned at
                once.

        Returns:
            The value at that time.
        """
        wait_ms = self._settings.watch_ms
        path = f"/kv/{key}?after={after_version}&wait_ms={int(wait_ms)}"
        return self._read(path, wait_ms + WATCH_MARGIN_MS)

    def put(
        self, key: str, value: str, expected_version: int, ttl_ms: int = 0
    ) -> expression.Result[int, WriteFailure]:
        """Writes a value if the key is still at the expected version.

        Args:
            key: The key.
            value: The new value.
            expected_version: Version that the key must have; `ABSENT_VERSION`
                to create.
            ttl_ms: Time after which the store removes the value, in
                milliseconds; 0 for never.

        Returns:
            The new version, or the reason why the value is not known to be
            written.
        """
        path = f"/kv/{key}?expect={expected_version}&ttl_ms={ttl_ms}"
        try:
            response = self._pool.request(
                "PUT",
                path,
                body=value.encode(),
                timeout=_timeout(self._settings.timeout_ms),
                retries=False,
            )
        except urllib3.exceptions.HTTPError as error:
            return expression.Error(Unavailable(detail=repr(error)))
        if response.status == STATUS_OK:
            return _decode_stored(response.data).map(
                lambda found: found.version
            )
        if response.status == STATUS_CONFLICT:
            return _parse_conflict(response.data)
        detail = f"the store answered {response.status}"
        return expression.Error(Unavailable(detail=detail))

    def _read(
        self, path: str, timeout_ms: float
    ) -> expression.Result[ReadResult, Unavailable]:
        try:
            response = self._pool.request(
                "GET", path, timeout=_timeout(timeout_ms), retries=False
            )
        except urllib3.exceptions.HTTPError as error:
            return expression.Error(Unavailable(detail=repr(error)))
        if response.status == STATUS_NOT_FOUND:
            return expression.Ok(Absent())
        if response.status == STATUS_OK:
            return _decode_stored(response.data)
        detail = f"the store answered {response.status}"
        return expression.Error(Unavailable(detail=detail))


def _timeout(timeout_ms: float) -> urllib3.Timeout:
    return urllib3.Timeout(total=timeout_ms / MS_PER_S)


def _decode_stored(data: bytes) -> expression.Result[Stored, Unavailable]:
    return decoding.decode(_DECODER.decode, data).map_error(
        lambda detail: Unavailable(detail=detail)
    )


def _parse_conflict(data: bytes) -> expression.Result[int, WriteFailure]:
    match _decode_stored(data):
        case expression.Result(tag="ok", ok=found):
            if found.version == ABSENT_VERSION:
                return expression.Error(Conflict(current_value=Absent()))
            return expression.Error(Conflict(current_value=found))
        case expression.Result(error=error):
            return expression.Error(error)
