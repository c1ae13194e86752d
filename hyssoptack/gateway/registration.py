"""Keeps an instance registered in the platform's list of instances."""

import random

import expression
import msgspec

from hyssoptack.core import member
from hyssoptack.gateway import storewatch
from hyssoptack.membership import readerelection
from hyssoptack.platform import keyvalue
from hyssoptack.platform import storeformat
from hyssoptack.settings import gateway

RENEWALS_PER_LEASE_COUNT = 3
"""Number of renewals in one lease period, so that two may fail."""


class Registration:
    """The entry of one instance, which expires with its lease."""

    def __init__(
        self, settings: gateway.GatewaySettings, store: keyvalue.Client
    ):
        self._settings = settings
        self._store = store
        self._random = random.Random()
        self._lease_ms = max(settings.lease_ms, settings.lease_min_ms)

    async def maintain_registration(self) -> None:
        """Keeps this instance registered in the list of instances."""
        lease: int | None = None
        era = 0
        failure_count = 0
        while True:
            if lease is None:
                era_before = self._store.era
                lease = await self._register()
                era = era_before or self._store.era
            elif self._store.era != era or not await self._renew(lease):
                # After a return from an older copy, the entry may be lost, and
                # the lease's number may be another instance's.
                lease = None
                continue
            failure_count = 0 if lease is not None else failure_count + 1
            if lease is None:
                await self._pause(storewatch.RETRY.wait_ms(failure_count))
            else:
                await self._pause(self._lease_ms / RENEWALS_PER_LEASE_COUNT)

    async def _register(self) -> int | None:
        granted = await self._store.grant_lease(self._lease_ms)
        match granted:
            case expression.Result(tag="ok", ok=lease):
                key = storeformat.PEER_PREFIX + self._settings.instance_id
                written = await self._store.put(
                    key, self._registration(), lease
                )
                return lease if written.is_ok() else None
            case _:
                return None

    def _registration(self) -> bytes:
        return msgspec.json.encode(
            member.Peer(
                instance_id=self._settings.instance_id,
                failure_domain=self._settings.failure_domain,
                address=self._settings.peer_address,
                link_mbps=self._settings.link_mbps,
            )
        )

    async def _renew(self, lease: int) -> bool:
        """Renews a lease; returns whether it may still be valid."""
        match await self._store.renew_lease(lease):
            case expression.Result(
                tag="error",
                error=keyvalue.Failure(kind=keyvalue.FailureKind.NO_LEASE),
            ):
                return False
            case _:
                # A failed call may have renewed it; the next call shows.
                return True

    async def _pause(self, period_ms: float) -> None:
        pause_ms = readerelection.jittered_ms(period_ms, self._random)
        await self._store.wait_for_era_change(pause_ms)
