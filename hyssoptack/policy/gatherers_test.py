"""Who makes calls in other domains: few, wide, alive."""

import random

from hyssoptack.core import member
from hyssoptack.policy import gatherers

WIDE_MBPS = 200.0
NARROW_MBPS = 20.0


def peer(name, domain="south", link_mbps=WIDE_MBPS):
    return member.Peer(
        instance_id=name,
        failure_domain=domain,
        address=f"{name}:1",
        link_mbps=link_mbps,
    )


def fleet(domain_count=7, wide_count=3, narrow_count=25):
    made = []
    for number in range(domain_count):
        domain = f"d{number}"
        made += [peer(f"{domain}-w{i}", domain) for i in range(wide_count)]
        made += [
            peer(f"{domain}-n{i}", domain, NARROW_MBPS)
            for i in range(narrow_count)
        ]
    return made


def made(*peers):
    known = gatherers.GathererSelector(random.Random(5))
    known.install(tuple(peers))
    return known


def test_the_wide_ones_of_all_other_domains_are_chosen():
    found = gatherers.select_gatherers(fleet(), "d0")
    assert len(found) == 6 * gatherers.GATHERERS_PER_DOMAIN_COUNT
    assert all(each.link_mbps == WIDE_MBPS for each in found)
    assert all(each.failure_domain != "d0" for each in found)


def test_narrow_ones_do_not_fill_up_the_number():
    found = gatherers.select_gatherers(
        fleet(domain_count=2, wide_count=1), "d0"
    )
    assert [each.instance_id for each in found] == ["d1-w0"]


def test_where_all_are_alike_each_domain_prefers_others():
    alike = fleet(domain_count=3, wide_count=20, narrow_count=0)
    first, second = (
        {
            each.instance_id
            for each in gatherers.select_gatherers(alike, own)
            if each.failure_domain == "d2"
        }
        for own in ("d0", "d1")
    )
    assert first != second


def test_calls_spread_by_what_is_open():
    known = made(peer("a"), peer("b"))
    first = known.choose("south", 0.0)
    known.begin_query(first)
    assert known.choose("south", 0.0) != first
    assert known.choose("west", 0.0) is None


def test_one_that_is_lost_is_left_alone_longer_each_time():
    known = made(peer("a"))
    now_ms = 0.0
    for wait_ms in (1_000.0, 2_000.0, 4_000.0, 8_000.0, 8_000.0):
        known.record_loss(peer("a"), now_ms)
        known.record_loss(peer("a"), now_ms + 1.0)
        assert known.choose("south", now_ms + wait_ms - 1.0) is None
        now_ms += wait_ms
        assert known.choose("south", now_ms) is not None
    known.record_report(peer("a"))
    known.record_loss(peer("a"), now_ms)
    assert known.choose("south", now_ms + 1_000.0) is not None


def test_two_that_are_lost_show_that_their_domain_is():
    known = made(peer("a"), peer("b"), peer("c"))
    known.record_loss(peer("a"), 0.0)
    assert known.choose("south", 1.0) is not None
    known.record_loss(peer("b"), 1.0)
    assert known.choose("south", 2.0) is None
    # A word of any of them shows the contrary.
    known.record_report(peer("c"))
    assert known.choose("south", 3.0).instance_id == "c"


def test_one_that_declines_is_left_alone_by_itself():
    known = made(peer("a"), peer("b"))
    known.record_decline(peer("a"), 0.0)
    known.record_decline(peer("b"), 0.0)
    assert known.choose("south", 1.0) is None
    known = made(peer("a"), peer("b"), peer("c"))
    known.record_decline(peer("a"), 0.0)
    known.record_decline(peer("b"), 0.0)
    assert known.choose("south", 1.0).instance_id == "c"


def test_a_first_word_is_waited_for_as_long_as_most_take():
    known = made(peer("a"))
    assert (
        known.first_report_timeout_ms(40.0)
        == gatherers.FIRST_REPORT_TIMEOUT_RATIO * 40.0
    )
    for _ in range(64):
        known.record_first_report(70.0)
    assert known.first_report_timeout_ms(40.0) == 70.0
