"""Tests of ownership at the target size, without I/O."""

import random
import time

from hyssoptack.core import catalog
from hyssoptack.core import keyspace
from hyssoptack.membership import ownership

INSTANCE_COUNT = 3_200
UPSTREAM_COUNT = 22_000
DOMAIN_COUNT = 6
SERVICE_COUNT = 60
OWNER_COUNT = 24
COLUMN_SIZE_COUNT = 40
LAG_MS = 2_000.0


def _columns() -> list[ownership.Column]:
    result = []
    for number in range(SERVICE_COUNT):
        upstreams, shards = {}, []
        for index in range(UPSTREAM_COUNT // SERVICE_COUNT):
            upstream_id = f"s{number}-{index}"
            upstreams[upstream_id] = catalog.Upstream(
                upstream_id=upstream_id,
                failure_domain=f"d{index % DOMAIN_COUNT}",
                address="127.0.0.1:1",
                slot_count=24,
                connection_limit_count=25,
                connect_cost_ms=6.0,
            )
            shards.append(
                catalog.Shard(
                    shard_id=upstream_id,
                    key_range=keyspace.KeyRange(0, 1),
                    upstream_ids=(upstream_id,),
                )
            )
        service = catalog.Service(
            name=f"s{number}",
            team="a",
            profile="p",
            accepts_actions=False,
            action_retention_ms=1_000,
            shards=tuple(shards),
            upstreams=upstreams,
        )
        result.extend(ownership.columns(service, COLUMN_SIZE_COUNT))
    return result


def _instances() -> dict[str, list[str]]:
    domains: dict[str, list[str]] = {}
    for number in range(INSTANCE_COUNT):
        domain = f"d{number % DOMAIN_COUNT}"
        domains.setdefault(domain, []).append(f"i{number:04d}")
    return domains


def test_at_most_owner_count_instances_use_shares_while_views_lag():
    # Instances see a start or stop with different delays, up to the lag. With
    # no wait for the lag, differing views would give a column too many owners
    # and exceed an upstream's limit.
    rng = random.Random(4)
    names = [f"i{number}" for number in range(40)]
    started_ms = {name: rng.uniform(0, 60_000) for name in names}
    stopped_ms = {
        name: started_ms[name] + rng.uniform(3_000, 60_000) for name in names
    }
    view_delay_ms = {
        (viewer, name): rng.uniform(0, 0.999 * LAG_MS)
        for viewer in names
        for name in names
    }

    def view(viewer: str, now_ms: float) -> tuple[str, ...]:
        return tuple(
            sorted(
                name
                for name in names
                if name == viewer
                or started_ms[name] + view_delay_ms[(viewer, name)]
                <= now_ms
                < stopped_ms[name] + view_delay_ms[(viewer, name)] + LAG_MS
            )
        )

    max_user_count = 0
    for step in range(400):
        now_ms = step * 250.0
        for column in ("a", "b", "c"):
            users = [
                name
                for name in names
                if started_ms[name] <= now_ms < stopped_ms[name]
                and ownership.may_use_shares(started_ms[name], LAG_MS, now_ms)
                and name in ownership.owners(column, view(name, now_ms), 3)
            ]
            max_user_count = max(max_user_count, len(users))
            assert len(users) <= 3
    assert max_user_count == 3


def test_every_column_has_its_owners_and_load_is_balanced_at_target_size():
    domains = _instances()
    load: dict[str, int] = {}
    for column in _columns():
        candidates = tuple(domains[column.failure_domain])
        owning = ownership.owners(column.column_id, candidates, OWNER_COUNT)
        assert len(set(owning)) == OWNER_COUNT
        for name in owning:
            load[name] = load.get(name, 0) + len(column.upstream_ids)
    mean = sum(load.values()) / INSTANCE_COUNT
    print("upstreams owned, mean", mean, "maximum", max(load.values()))
    # The maximum is 3.2 times the mean; docs/CAPACITY.md says what would lower
    # it.
    assert max(load.values()) <= 3.5 * mean


def test_loss_of_150_instances_moves_few_ownerships():
    domains = _instances()
    rng = random.Random(5)
    everyone = [name for names in domains.values() for name in names]
    gone = set(rng.sample(everyone, 150))
    kept = moved = 0
    for column in _columns():
        before = tuple(domains[column.failure_domain])
        after = tuple(name for name in before if name not in gone)
        old = set(ownership.owners(column.column_id, before, OWNER_COUNT))
        new = set(ownership.owners(column.column_id, after, OWNER_COUNT))
        kept += len(old & new)
        moved += len(new - old)
    print(
        "ownerships moved by the loss of 150 instances:", moved, "kept:", kept
    )
    assert moved / (kept + moved) <= 2 * 150 / INSTANCE_COUNT


def test_rankings_for_the_columns_of_one_domain_are_bounded():
    domains = _instances()
    own_columns = [each for each in _columns() if each.failure_domain == "d0"]
    candidates = tuple(domains["d0"])
    started_s = time.process_time()
    for column in own_columns:
        ownership.owners(column.column_id, candidates, OWNER_COUNT)
    spent_ms = (time.process_time() - started_s) * 1000
    print("columns", len(own_columns), "ranked in cpu ms", round(spent_ms, 1))
    # Bounds the number of rankings instead of CPU time, which depends on the
    # machine. An instance ranks the columns of its own domain only.
    assert len(own_columns) * len(candidates) < 70_000
