"""Tests which instances gather for other failure domains."""

import random

from hyssoptack.core import member
from hyssoptack.delegation import gatherers

FAST_MBPS = 200.0
SLOW_MBPS = 20.0


def peer(name, domain="south", link_mbps=FAST_MBPS):
    return member.Peer(
        instance_id=name,
        failure_domain=domain,
        address=f"{name}:1",
        link_mbps=link_mbps,
    )


def fleet(domain_count=7, fast_count=3, slow_count=25):
    peers = []
    for number in range(domain_count):
        domain = f"d{number}"
        peers += [peer(f"{domain}-w{i}", domain) for i in range(fast_count)]
        peers += [
            peer(f"{domain}-n{i}", domain, SLOW_MBPS) for i in range(slow_count)
        ]
    return peers


def make_selector(*peers):
    selector = gatherers.GathererSelector(random.Random(5))
    selector.set_gatherers(tuple(peers))
    return selector


def test_instances_with_high_bandwidth_in_all_other_domains_are_selected():
    found = gatherers.select_gatherers(fleet(), "d0")
    assert len(found) == 6 * gatherers.GATHERERS_PER_DOMAIN_COUNT
    assert all(each.link_mbps == FAST_MBPS for each in found)
    assert all(each.failure_domain != "d0" for each in found)


def test_slow_links_do_not_fill_up_the_number_of_gatherers():
    found = gatherers.select_gatherers(
        fleet(domain_count=2, fast_count=1), "d0"
    )
    assert [each.instance_id for each in found] == ["d1-w0"]


def test_with_equal_links_domains_prefer_different_gatherers():
    equal = fleet(domain_count=3, fast_count=20, slow_count=0)
    first, second = (
        {
            each.instance_id
            for each in gatherers.select_gatherers(equal, own)
            if each.failure_domain == "d2"
        }
        for own in ("d0", "d1")
    )
    assert first != second


def test_queries_spread_by_the_number_in_flight():
    selector = make_selector(peer("a"), peer("b"))
    first = selector.choose("south", 0.0)
    selector.begin_query(first)
    assert selector.choose("south", 0.0) != first
    assert selector.choose("west", 0.0) is None


def test_a_lost_gatherer_is_ejected_for_longer_each_time():
    selector = make_selector(peer("a"))
    now_ms = 0.0
    for wait_ms in (1_000.0, 2_000.0, 4_000.0, 8_000.0, 8_000.0):
        selector.record_loss(peer("a"), now_ms)
        selector.record_loss(peer("a"), now_ms + 1.0)
        assert selector.choose("south", now_ms + wait_ms - 1.0) is None
        now_ms += wait_ms
        assert selector.choose("south", now_ms) is not None
    selector.record_report(peer("a"))
    selector.record_loss(peer("a"), now_ms)
    assert selector.choose("south", now_ms + 1_000.0) is not None


def test_two_lost_gatherers_eject_their_domain():
    selector = make_selector(peer("a"), peer("b"), peer("c"))
    selector.record_loss(peer("a"), 0.0)
    assert selector.choose("south", 1.0) is not None
    selector.record_loss(peer("b"), 1.0)
    assert selector.choose("south", 2.0) is None
    # A report from any of them ends the ejection.
    selector.record_report(peer("c"))
    assert selector.choose("south", 3.0).instance_id == "c"


def test_declining_gatherers_do_not_eject_their_domain():
    selector = make_selector(peer("a"), peer("b"))
    selector.record_decline(peer("a"), 0.0)
    selector.record_decline(peer("b"), 0.0)
    assert selector.choose("south", 1.0) is None
    selector = make_selector(peer("a"), peer("b"), peer("c"))
    selector.record_decline(peer("a"), 0.0)
    selector.record_decline(peer("b"), 0.0)
    assert selector.choose("south", 1.0).instance_id == "c"


def test_the_first_report_timeout_covers_usual_delays():
    selector = make_selector(peer("a"))
    assert (
        selector.first_report_timeout_ms(40.0)
        == gatherers.FIRST_REPORT_TIMEOUT_RATIO * 40.0
    )
    for _ in range(64):
        selector.record_first_report(70.0)
    assert selector.first_report_timeout_ms(40.0) == 70.0
