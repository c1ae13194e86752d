"""`python -m bench.workscale`: the choice of upstreams by the work of a call.

Simulates the calls of an instance to the three upstreams of a shard, one of
which is in its own failure domain. The work of a call is varied from a third to
seventeen times that of the users' urgent searches.
"""

import dataclasses
import heapq
import random

from hyssoptack.balancing import loadbalancer
from hyssoptack.core import traffic

WORK_MS = (4.6, 14.0, 42.0, 140.0, 235.0)
CALLS_PER_S = 10.0
PLAY_MS = 60_000.0
SLOW_FROM_MS, SLOW_TO_MS = 20_000.0, 40_000.0
SLOW_RATIO = 8.0
PAUSE_MS, PAUSE_EVERY_MS = 250.0, 6_000.0
SEEDS = range(5)
OWN, FAR = "own", ("far-1", "far-2")


@dataclasses.dataclass(kw_only=True)
class Tally:
    """Numbers of calls by destination.

    Attributes:
        calm_far_count: Calls to other domains while no upstream was slow.
        calm_count: All calls while no upstream was slow.
        slow_count: Calls to the slow upstream while it was slow.
        trouble_count: All calls while an upstream was slow.
    """

    calm_far_count: int = 0
    calm_count: int = 0
    slow_count: int = 0
    trouble_count: int = 0


def _upstream(name: str) -> traffic.Upstream:
    return traffic.Upstream(
        upstream_id=name,
        service="s",
        address="127.0.0.1:1",
        failure_domain=name,
        slot_count=6,
        draining=False,
        cold_ms=0.0,
    )


def _took_ms(
    name: str, work_ms: float, now_ms: float, rng: random.Random
) -> float:
    took_ms = work_ms * rng.lognormvariate(0.0, 0.35)
    if name == OWN and SLOW_FROM_MS <= now_ms < SLOW_TO_MS:
        took_ms *= SLOW_RATIO
    phase_ms = PAUSE_EVERY_MS * (OWN, *FAR).index(name) / 3
    since_pause_ms = (now_ms + phase_ms) % PAUSE_EVERY_MS
    return took_ms + max(0.0, PAUSE_MS - since_pause_ms)


def play(work_ms: float, seed: int) -> Tally:
    """Simulates calls for a minute and returns their destinations."""
    rng = random.Random(seed)
    balancer = loadbalancer.LoadBalancer(
        loadbalancer.LoadBalancerSettings(
            failure_domain=OWN, crossing_ratio=1.5
        )
    )
    names = (OWN, *FAR)
    balancer.set_upstreams({name: _upstream(name) for name in names}, 0.0)
    tally = Tally()
    running: list[tuple[float, float, str]] = []
    now_ms = 0.0
    while now_ms < PLAY_MS:
        now_ms += rng.expovariate(CALLS_PER_S / 1_000.0)
        while running and running[0][0] <= now_ms:
            end_ms, sent_ms, name = heapq.heappop(running)
            balancer.end_call(name)
            balancer.record_answer("r", name, end_ms - sent_ms, end_ms)
        name = balancer.choose("r", "s", frozenset(), now_ms).upstream_id
        balancer.begin_call(name, now_ms)
        took_ms = _took_ms(name, work_ms, now_ms, rng)
        heapq.heappush(running, (now_ms + took_ms, now_ms, name))
        if SLOW_FROM_MS + 1_000.0 <= now_ms < SLOW_TO_MS:
            tally.trouble_count += 1
            tally.slow_count += name == OWN
        elif now_ms < SLOW_FROM_MS:
            tally.calm_count += 1
            tally.calm_far_count += name != OWN
    return tally


def main() -> None:
    """Prints a row for each amount of work per call."""
    print("work ms | calm calls that cross | calls to the slow upstream")
    for work_ms in WORK_MS:
        tallies = [play(work_ms, seed) for seed in SEEDS]
        calm = sum(each.calm_count for each in tallies)
        far = sum(each.calm_far_count for each in tallies)
        trouble = sum(each.trouble_count for each in tallies)
        slow = sum(each.slow_count for each in tallies)
        print(f"{work_ms} | {far / calm:.3f} | {slow / trouble:.3f}")


if __name__ == "__main__":
    main()
