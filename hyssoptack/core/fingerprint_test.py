"""The name of a request's content."""

from hyssoptack.core import fingerprint


def _of(**changes):
    given = {
        "method": b"GET",
        "host": "shop.example",
        "target": b"/one/x?q=1",
        "body": b"",
    }
    return fingerprint.compute(**{**given, **changes})


def test_the_same_content_has_the_same_name():
    assert _of() == _of(host="Shop.Example")
    assert len(_of()) == 2 * fingerprint.DIGEST_BYTES


def test_any_other_content_has_another_name():
    others = [
        _of(method=b"PUT"),
        _of(host="desk.example"),
        _of(target=b"/one/x?q=2"),
        _of(body=b"1"),
        # What ends one field does not begin the next.
        _of(target=b"/one/x?q=", body=b"1"),
    ]
    assert len({_of(), *others}) == 6
