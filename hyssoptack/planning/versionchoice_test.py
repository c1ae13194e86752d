"""Tests of the choice of an index version."""

from hyssoptack.core import query
from hyssoptack.planning import example
from hyssoptack.planning import versionchoice


def _held(current, *versions):
    return {
        shard.upstream_ids[0]: each
        for shard, each in zip(current.shards, versions, strict=True)
    }


def test_any_version_is_requested_without_reported_versions():
    shards = example.service(2, 1).shards
    assert (
        versionchoice.choose_version(shards, {}).index_version
        == query.ANY_VERSION
    )


def test_the_newest_version_that_all_hold_is_chosen():
    current = example.service(2, 1)
    held = _held(current, (1, 2), (1, 2))
    assert versionchoice.choose_version(current.shards, held).index_version == 2


def test_an_older_version_that_covers_more_keys_is_preferred():
    current = example.service(2, 1)
    held = _held(current, (1, 2), (1,))
    assert versionchoice.choose_version(current.shards, held).index_version == 1


def test_an_upstream_without_a_report_may_hold_any_version():
    current = example.service(2, 1)
    held = {current.shards[0].upstream_ids[0]: (3,)}
    choice = versionchoice.choose_version(current.shards, held)
    assert choice.index_version == 3
    assert choice.reachable_key_count == 65_536


def test_versions_of_lost_upstreams_are_ignored():
    current = example.service(1, 2)
    first, second = current.shards[0].upstream_ids
    held = {first: (2,), second: (1,)}
    choice = versionchoice.choose_version(
        current.shards, held, frozenset({first})
    )
    assert choice.index_version == 1
