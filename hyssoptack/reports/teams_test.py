"""Tests of the counts of each team's requests in log lines."""

import json
import subprocess
import sys

import pytest

from hyssoptack.reports import teams
from hyssoptack.reports import timeline_test


def ended(time_s, request_id, status=200, instance="g-1", **fields):
    return timeline_test.line(
        time_s,
        "request_ended",
        instance,
        request_id=request_id,
        status=status,
        **{"reason": "1/1", "version": 7, "route": "r", **fields},
    )


def event(number, kind, time_s, instance="g-1", **fields):
    body = json.loads(timeline_test.line(time_s, kind, instance, **fields))
    body["message_type"] = f"hyssoptack:{number}:{kind}"
    return json.dumps(body)


def refusal(time_s, request_id, team):
    return event(
        6301, "rate_limited", time_s, request_id=request_id, team=team,
        retry_after_ms=12.5, version=7,
    )  # fmt: skip


def handed(time_s, request_id, **fields):
    return event(
        6104, "query_handed", time_s, request_id=request_id, status=200,
        team="red", **fields,
    )  # fmt: skip


def taken(time_s, request_id):
    return event(
        6107, "query_taken", time_s, "g-2", request_id=request_id, begun=True
    )


def back(time_s, request_id, **fields):
    return event(
        6105, "query_back", time_s, request_id=request_id, team="red",
        reason="silent", **fields,
    )  # fmt: skip


def counts(tmp_path, *files):
    paths = []
    for number, lines in enumerate(files):
        paths.append(tmp_path / f"{number}.log")
        paths[-1].write_text("\n".join(lines))
    return teams.document(teams.count(paths))


def test_outcomes_are_counted_by_team_and_reason(tmp_path):
    found = counts(
        tmp_path,
        [
            ended(1.0, "a", team="red", rate_per_s=23.0),
            "text of another program",
            ended(2.0, "b", 404, team="red", rate_per_s=23.0),
            ended(3.0, "c", 503, team="red", reason="no_upstream"),
            ended(4.0, "d", 502, team="red", reason="connection_reset"),
            ended(5.0, "e", 0, team="red", reason="caller_left"),
            ended(6.0, "f", 401, route="", reason="unknown_key"),
            ended(7.0, "g", 404, route="", reason="no_route"),
            ended(8.0, "h", 503, route="", reason="no_configuration_yet"),
            '{"cut": "sho',
            refusal(9.0, "i", "red"),
            refusal(9.1, "j", "blue"),
        ],
    )
    assert found["red"]["received"] == 6
    assert found["red"]["served"] == 2
    assert found["red"]["left"] == 1
    assert found["red"]["refused"] == {"no_upstream": 1, "rate_limited": 1}
    assert found["red"]["failed"] == {"connection_reset": 1}
    assert found["blue"]["refused"] == {"rate_limited": 1}
    assert found["-"]["refused"] == {
        "unknown_key": 1,
        "no_route": 1,
        "no_configuration_yet": 1,
    }


@pytest.mark.parametrize("delay_s", [-0.5, 0.5])
def test_a_delegated_request_is_counted_once(tmp_path, delay_s):
    # The clocks of the two instances differ.
    own = [
        handed(1.0, "a"),
        back(2.0, "b"),
        ended(2.1, "b", team="red"),
        back(3.0, "c", status=502),
        ended(4.0, "own", team="red"),
    ]
    neighbour = [
        taken(0.9 + delay_s, "a"),
        ended(1.0 + delay_s, "a", instance="g-2", team="red"),
        taken(1.9 + delay_s, "b"),
        ended(2.0 + delay_s, "b", 0, instance="g-2", team="red"),
        taken(2.9 + delay_s, "c"),
        ended(3.0 + delay_s, "c", 0, instance="g-2", team="red"),
        # Its first instance logs nothing when the caller leaves.
        taken(3.9 + delay_s, "d"),
        ended(4.0 + delay_s, "d", 0, instance="g-2", team="red"),
    ]
    for files in ([own, neighbour], [neighbour, own]):
        (found,) = counts(tmp_path, *files).values()
        assert found["received"] == 5
        assert found["served"] == 3
        assert found["failed"] == {"silent": 1}
        assert found["left"] == 1


@pytest.mark.parametrize("after_s", [-0.1, 0.1])
def test_a_refusal_with_two_lines_is_counted_once_for_its_team(
    tmp_path, after_s
):
    end = ended(2.0, "a", 429, route="", reason="over_limit")
    lines = [refusal(2.0 + after_s, "a", "red"), end]
    found = counts(tmp_path, lines if after_s < 0 else lines[::-1])
    assert list(found) == ["red"]
    assert found["red"]["received"] == 1


def test_the_rate_is_that_of_the_highest_version(tmp_path):
    found = counts(
        tmp_path,
        [
            ended(1.0, "a", team="red", rate_per_s=9.0, version=8),
            ended(2.0, "b", team="red", rate_per_s=5.0, version=7),
            refusal(3.0, "c", "red"),
            ended(4.0, "d", team="blue", rate_per_s=5.0, version=7),
            ended(5.0, "e", team="blue", version=8),
        ],
    )
    assert (found["red"]["rate_per_s"], found["red"]["version"]) == (9.0, 8)
    assert found["blue"]["rate_per_s"] is None


def test_memory_does_not_grow_with_the_log(tmp_path, monkeypatch):
    monkeypatch.setattr(teams, "HELD_LIMIT_COUNT", 10)
    lines = []
    for number in range(1_000):
        lines += [
            taken(number, f"{number}"),
            ended(number, f"{number}", 0, instance="g-2", team="red"),
            handed(number, f"h{number}"),
            back(number, f"b{number}"),
        ]
    counter = teams._Counter()
    path = tmp_path / "a.log"
    path.write_text("\n".join(lines))
    for each in teams._read(path):
        counter.add(each)
        for held in (
            counter._accepted,
            counter._settled,
            counter._taken_back,
            counter._unsettled,
        ):
            assert len(held._by_id) <= 10
    assert counter.finish()["red"].received_count == 2_000


def test_the_command_prints_a_row_for_each_team(tmp_path):
    path = tmp_path / "a.log"
    path.write_text(
        "\n".join(
            [
                ended(1.0, "a", team="red", rate_per_s=23.5),
                refusal(2.0, "b", "red"),
            ]
        )
    )
    command = [sys.executable, "-m", "hyssoptack.scripts.main", "report"]
    done = subprocess.run(
        [*command, "teams", str(path)], capture_output=True, text=True
    )
    words = done.stdout.splitlines()[1].split()
    assert words == [
        "red",
        "23.5",
        "2",
        "1",
        "1",
        "0",
        "0",
        "rate_limited",
        "1",
    ]
    missing = subprocess.run(
        [*command, "teams", str(path) + "x"], capture_output=True, text=True
    )
    assert missing.returncode == 2
    assert "No such file" in missing.stderr


def test_a_refusal_by_admission_control_is_counted(tmp_path):
    refused = event(
        6401, "request_refused", 1.0, request_id="a", team="red", route="r",
        reason="queue_full", retry_after_ms=40.0,
    )  # fmt: skip
    total = counts(tmp_path, [refused])["red"]
    assert total["refused"] == {"queue_full": 1}
    assert total["received"] == 1


def test_a_refusal_does_not_hide_the_rate(tmp_path):
    lines = [
        ended(1.0, "a", team="red", rate_per_s=23.0),
        refusal(2.0, "b", "red"),
        ended(2.1, "b", status=429, route="", reason="rate_limit", team="red"),
    ]
    assert counts(tmp_path, lines)["red"]["rate_per_s"] == 23.0
