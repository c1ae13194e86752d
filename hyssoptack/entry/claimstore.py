"""Reads and writes claims in the platform's key-value service."""

import asyncio
import concurrent.futures

import expression
import msgspec

from hyssoptack.core import action
from hyssoptack.core import decoding
from hyssoptack.revisions import store

_DECODER = msgspec.json.Decoder(action.Claim)
_ENCODER = msgspec.json.Encoder()


class ClaimStore:
    """Store of claims by key; each call runs on a thread of a pool.

    Attributes:
        write_count: Number of writes started.
    """

    def __init__(
        self,
        store_client: store.StoreClient,
        threads: concurrent.futures.Executor,
    ):
        self._store = store_client
        self._threads = threads
        self.write_count = 0

    async def write(
        self, key: str, new_claim: action.Claim, version: int, ttl_ms: int
    ) -> expression.Result[int, store.WriteFailure]:
        """Writes a claim if the key is still at the expected version.

        Args:
            key: Key of the claim.
            new_claim: Claim to write.
            version: Expected version; `store.ABSENT_VERSION` to create.
            ttl_ms: Lifetime of the claim, in milliseconds.

        Returns:
            The new version, or the reason why the claim is not known to be
            written.
        """
        self.write_count += 1
        text = _ENCODER.encode(new_claim).decode()
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            self._threads, self._store.put, key, text, version, ttl_ms
        )

    async def read(self, key: str) -> tuple[action.Claim | None, int] | None:
        """Reads a claim.

        Returns:
            The claim (None if absent) and its version; None in place of the
            pair if the store can't be read or its value can't be decoded.
        """
        loop = asyncio.get_running_loop()
        result = await loop.run_in_executor(self._threads, self._store.get, key)
        match result:
            case expression.Result(tag="ok", ok=found):
                return parse_claim(found)
            case _:
                return None


def parse_claim(
    found: store.ReadResult,
) -> tuple[action.Claim | None, int] | None:
    """Decodes a stored claim.

    Returns:
        The claim (None if absent) and its version; None in place of the pair if
        the value can't be decoded.
    """
    match found:
        case store.Absent():
            return None, store.ABSENT_VERSION
        case store.Stored(value=value, version=version):
            match decoding.decode(_DECODER.decode, value):
                case expression.Result(tag="ok", ok=claim):
                    return claim, version
                case _:
                    return None
