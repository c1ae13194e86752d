"""Searches are answered soon after all processes of a fleet stood still."""

import dataclasses
import json
import pathlib
import time

import pytest

from bench import fleet
from bench.proofs import callers
from hyssoptack.events import log

SERVICE = "oven-kiosk"
TEXTS = ("baguette", "brioche brick", "croissant rotary oven")
OPTIONS = fleet.Options(
    deployment="dakar", services=(SERVICE,), port_shift=9_500, service_ms=3.0
)
RECOVERY_S = 0.3
WATCH_S = 2.2
WATCH_MAX_S = 20.0
REPLY_MIN_COUNT = 100
EARLIER_MIN_COUNT = 50
PAUSE_SLACK_S = 0.5
WHOLE_MIN_RATIO = 0.98
THAWED = log.message_type(log.Event.THAWED)


@pytest.fixture(scope="module")
def run(tmp_path_factory):
    folder = pathlib.Path(tmp_path_factory.mktemp("stops"))
    with fleet.Fleet(OPTIONS, folder) as started:
        yield started


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Play:
    """Searches around a stop.

    Attributes:
        replies: All replies.
        earlier: Replies that came before the stop.
        later: Replies to searches sent `RECOVERY_S` after it or later.
    """

    replies: list[callers.Reply]
    earlier: list[callers.Reply]
    later: list[callers.Reply]


def _play_stop(run, names: list[str], stop_s: float) -> _Play:
    """Stops processes under load, and watches the searches after it."""
    load = callers.LoadGenerator(run, SERVICE, TEXTS, 6, pause_s=0.005)
    time.sleep(1.0)
    earlier = [reply for _, reply in tuple(load.replies)]
    for name in names:
        run.pause(name)
    time.sleep(stop_s)
    for name in reversed(names):
        run.resume(name)
    recovered_s = time.monotonic() + RECOVERY_S
    watch_until_s = recovered_s + WATCH_S
    while time.monotonic() < watch_until_s:
        time.sleep(0.1)
    while (
        _count_since(load, recovered_s) < REPLY_MIN_COUNT
        and time.monotonic() < recovered_s + WATCH_MAX_S
    ):
        # A busy machine answers fewer searches a second.
        time.sleep(0.1)
    replies = [reply for _, reply in load.stop()]
    later = [each for each in replies if each.started_s > recovered_s]
    return _Play(replies=replies, earlier=earlier, later=later)


def _count_since(load: callers.LoadGenerator, since_s: float) -> int:
    return sum(reply.started_s > since_s for _, reply in tuple(load.replies))


def _whole_ratio(replies: list[callers.Reply]) -> float:
    """Returns the share of searches that were answered from all shards."""
    whole = [
        each
        for each in replies
        if each.status == 200 and each.body["coverage_ratio"] == 1.0
    ]
    return len(whole) / len(replies)


def _longest_pause_s(run) -> float:
    """Returns the longest pause that an instance noted at its last stop."""
    pauses_ms = []
    for each in run.instances:
        text = run.log_path(each["instance_id"]).read_text("utf-8")
        events = [json.loads(line) for line in text.splitlines()]
        pauses_ms += [
            event["paused_ms"]
            for event in events
            if event["message_type"] == THAWED
        ][-1:]
    return max(pauses_ms) / 1e3


def _play_stop_that_ends(run, names: list[str], stop_s: float) -> _Play:
    """Plays stops until one began and ended as it should.

    On a machine that is too busy searches are late before it as well, or an
    instance does not run for seconds after it.
    """
    for _ in range(5):
        play = _play_stop(run, names, stop_s)
        pause_s = _longest_pause_s(run)
        serves = (
            len(play.earlier) >= EARLIER_MIN_COUNT
            and _whole_ratio(play.earlier) >= WHOLE_MIN_RATIO
        )
        if serves and pause_s < stop_s + PAUSE_SLACK_S:
            return play
        print(f"{len(play.earlier)} searches before, pause of {pause_s:.1f} s")
    raise AssertionError("no stop began and ended as it should")


def _names(run, which: str) -> list[str]:
    if which == "all":
        return list(run.processes)
    return [each["instance_id"] for each in run.instances]


@pytest.mark.parametrize("stop_s", [1.6, 2.3])
@pytest.mark.parametrize("which", ["all", "instances"])
def test_searches_are_whole_soon_after_a_stop_of_all_instances(
    run, which, stop_s
):
    # Guards against two seconds of refusals after a stop, and against searches
    # whose connection is closed without a response.
    play = _play_stop_that_ends(run, _names(run, which), stop_s)
    after = _whole_ratio(play.later)
    print(f"stop: {which} {stop_s} s; {len(play.later)} searches: {after:.3f}")
    assert len(play.later) >= REPLY_MIN_COUNT
    assert after >= WHOLE_MIN_RATIO
    if which == "all":
        # Without processes that run, nothing else could close a connection.
        assert all(each.status != 0 for each in play.replies)


def test_no_upstream_exceeds_its_limits_around_the_stops(run):
    # Guards against shares that two instances use after a stop.
    assert not run.upstreams_over_limit(SERVICE)
