"""Schedules of a soak run in which the store returns from older copies."""

import random

from soak import faults

RESTORE_GAP_RANGE_MS = (5_000.0, 9_000.0)
"""Time from a return of the store from an older copy to the next copy, so that
checks with a time limit apply in between."""

LOST_RANGE_MS = (2_000.0, 6_000.0)
LOST_CHANGE_COUNT = 2
AWAY_RANGE_MS = (50.0, 800.0)
DISTURBED_AFTER_MS = 3_000.0
"""Time after a return in which the fault of a gateway may still begin."""


def draw_restores(
    seed: int,
    length_ms: float,
    gateways: tuple[str, ...],
    services: tuple[str, ...],
) -> tuple[faults.ScheduledFault, ...]:
    """Returns returns of the store from older copies, one after the other.

    In the lost seconds, upstreams leave and the configuration changes, so that
    the revision of the copy is much lower. Others leave after the return. One
    gateway stands still, restarts or is cut off meanwhile.

    The arguments are those of `draw_schedule`.
    """
    rng = random.Random(f"restores-{seed}")
    scheduled = []
    at_ms = 500.0
    while at_ms < length_ms:
        restore = faults.RestoreStore(
            lost_ms=rng.uniform(*LOST_RANGE_MS),
            away_ms=rng.uniform(*AWAY_RANGE_MS),
        )
        return_ms = at_ms + restore.lost_ms
        scheduled.append(faults.ScheduledFault(at_ms=at_ms, fault=restore))
        scheduled.append(
            faults.ScheduledFault(
                at_ms=rng.uniform(
                    at_ms, return_ms + faults.LEAVING_RANGE_MS[1]
                ),
                fault=_draw_gateway_fault(rng, rng.choice(gateways)),
            )
        )
        for _ in range(LOST_CHANGE_COUNT):
            change_ms = rng.uniform(at_ms, return_ms)
            scheduled.append(
                faults.ScheduledFault(
                    at_ms=change_ms, fault=faults.ChangeConfiguration()
                )
            )
        for service in rng.sample(sorted(set(services)), faults.LEAVING_COUNT):
            leaving = faults.ReplaceUpstream(
                service=service, drains=rng.random() < 0.7
            )
            leaving_ms = rng.choice((at_ms, return_ms)) + rng.uniform(
                0.0, restore.lost_ms
            )
            scheduled.append(
                faults.ScheduledFault(at_ms=leaving_ms, fault=leaving)
            )
        at_ms = return_ms + rng.uniform(*RESTORE_GAP_RANGE_MS)
    return tuple(sorted(scheduled, key=lambda each: each.at_ms))


def _draw_gateway_fault(rng: random.Random, gateway: str) -> faults.Fault:
    """Returns a fault of one gateway beside a return of the store."""
    match rng.choice(("link", "pause", "restart")):
        case "link":
            return faults.LinkFault(
                name=gateway,
                mode=rng.choice(
                    (faults.LinkMode.RESET, faults.LinkMode.SILENT)
                ),
                duration_ms=rng.uniform(*faults.LINK_RANGE_MS),
            )
        case "pause":
            return faults.PauseGateway(
                gateway=gateway, duration_ms=rng.uniform(*faults.STALL_RANGE_MS)
            )
        case _:
            return faults.RestartGateway(
                gateway=gateway,
                is_planned=rng.random() < 0.6,
                down_ms=rng.uniform(*faults.DOWN_RANGE_MS),
            )
