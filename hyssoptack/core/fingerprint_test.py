"""Tests of request fingerprints."""

from hyssoptack.core import fingerprint


def _fingerprint(**changes):
    defaults = {
        "method": b"GET",
        "host": "shop.example",
        "target": b"/one/x?q=1",
        "body": b"",
    }
    return fingerprint.compute(**{**defaults, **changes})


def test_requests_with_equal_content_have_the_same_fingerprint():
    assert _fingerprint() == _fingerprint(host="Shop.Example")
    assert len(_fingerprint()) == 2 * fingerprint.DIGEST_BYTES


def test_requests_with_different_content_have_different_fingerprints():
    others = [
        _fingerprint(method=b"PUT"),
        _fingerprint(host="desk.example"),
        _fingerprint(target=b"/one/x?q=2"),
        _fingerprint(body=b"1"),
        # The boundary between fields is part of the fingerprint.
        _fingerprint(target=b"/one/x?q=", body=b"1"),
    ]
    assert len({_fingerprint(), *others}) == 6
