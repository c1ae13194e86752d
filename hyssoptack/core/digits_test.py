"""Numbers in text are read, or are no numbers; nothing is raised."""

import pytest

from hyssoptack.core import digits
from hyssoptack.core import traffic
from hyssoptack.settings import validation


def test_decimal_digits_are_read():
    assert digits.parse("0080") == 80


@pytest.mark.parametrize(
    "text", ["", "-1", "+1", " 1", "1_0", "²", "٣", "9" * 5_000]
)
def test_other_texts_are_no_numbers(text):
    assert digits.parse(text) is None


@pytest.mark.parametrize("port", ["²", "٨٠", "9" * 5_000, "0", "65536", ""])
def test_an_address_with_an_unreadable_port_is_malformed(port):
    # Guards against a ValueError that ends the reading of all settings, or of
    # the whole list of upstreams.
    assert traffic.split_address(f"10.0.0.1:{port}") is None
    assert not validation.is_address(f"10.0.0.1:{port}")


def test_an_ipv6_address_is_a_host():
    # Only the form in brackets was accepted, to which nothing connects.
    assert traffic.split_address("::1:80") == ("::1", 80)
    assert traffic.split_address("fe80::a:1:80") == ("fe80::a:1", 80)
