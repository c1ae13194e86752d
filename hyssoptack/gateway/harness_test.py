"""The tests' own harness."""

from hyssoptack.gateway import harness


def test_a_port_is_given_once(monkeypatch):
    # Two of a gateway's four ports were the same once: it never listened.
    drawn = iter((10_001, 10_001, 10_001, 10_002))
    monkeypatch.setattr(harness.random, "randrange", lambda *_: next(drawn))
    monkeypatch.setattr(harness, "_GIVEN", set(), raising=False)
    assert harness.free_port() != harness.free_port()
