"""Reads and writes claims in the platform's key-value service, off the loop."""

import asyncio
import concurrent.futures

import expression
import msgspec

from hyssoptack.core import action
from hyssoptack.revisions import store

_DECODER = msgspec.json.Decoder(action.Claim)
_ENCODER = msgspec.json.Encoder()


class ClaimStore:
    """Claims by key; each call runs on a thread of its own."""

    def __init__(
        self,
        store_client: store.StoreClient,
        threads: concurrent.futures.Executor,
    ):
        self._store = store_client
        self._threads = threads
        self.write_count = 0

    async def write(
        self, key: str, wanted: action.Claim, version: int, ttl_ms: int
    ) -> expression.Result[int, store.WriteFailure]:
        """Writes a claim over a version; `store.ABSENT_VERSION` to create.

        Returns:
            The new version, or why it is not known to be written.
        """
        self.write_count += 1
        text = _ENCODER.encode(wanted).decode()
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            self._threads, self._store.put, key, text, version, ttl_ms
        )

    async def read(self, key: str) -> tuple[action.Claim | None, int] | None:
        """Reads a claim.

        Returns:
            The claim, or None in its place, and its version; None alone when
            the store can't be read.
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
    """Returns what the store holds as a claim; None when it can't be read."""
    match found:
        case store.Absent():
            return None, store.ABSENT_VERSION
        case store.Stored(value=value, version=version):
            try:
                return _DECODER.decode(value), version
            except msgspec.DecodeError:
                return None
