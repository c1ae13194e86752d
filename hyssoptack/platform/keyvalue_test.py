"""Reads of ranges in several pages."""

import asyncio
import json

import expression
import pytest

from hyssoptack.core import position
from hyssoptack.gateway import pool
from hyssoptack.http1 import message
from hyssoptack.platform import keyvalue


class _Client(keyvalue.Client):
    """A client whose calls are answered with given pages, in order."""

    def __init__(self, pages, era=b""):
        super().__init__("127.0.0.1:1", pool.Pools(b""))
        self._pages = iter(pages)
        self._headers = ((b"Store-Era", era),) if era else ()

    async def _call(self, method, name, query, timeout_ms=0.0, body=b""):
        page = next(self._pages)
        return expression.Ok(
            message.Reply(
                status=200,
                headers=self._headers,
                body=json.dumps(page).encode(),
            )
        )


def _page(*keys, has_more):
    return {
        "items": [{"key": each, "value": "", "revision": 1} for each in keys],
        "current_rev": 1,
        "has_more": has_more,
    }


def _read(pages):
    return asyncio.run(_Client(pages).read_range("servers/"))


def test_a_range_of_two_pages_is_read_whole():
    result = _read([_page("a", "b", has_more=True), _page("c", has_more=False)])
    assert [each.key for each in result.ok.items] == ["a", "b", "c"]


@pytest.mark.parametrize("page_count", [1, keyvalue.PAGE_LIMIT_COUNT])
def test_a_range_cut_short_is_no_whole_list(page_count):
    # The upstreams on the missing pages were taken for gone.
    pages = [_page(f"k{n}", has_more=True) for n in range(page_count)]
    result = _read([*pages, _page(has_more=True)])
    assert result.error.kind is keyvalue.FailureKind.REFUSED


@pytest.mark.parametrize("era", [b"9" * 5_000, b"9" * 30, b"-1", b"\xb2"])
def test_an_era_that_is_no_number_fails_the_read(era):
    # A number of some thousand digits ended the process; one of 30 could not be
    # sent to the neighbours, which ended the thread that sends.
    client = _Client([_page("a", has_more=False)], era)
    result = asyncio.run(client.read_range("servers/"))
    assert result.error.kind is keyvalue.FailureKind.REFUSED
    client = _Client([{"events": [], "current_rev": 1}], era)
    result = asyncio.run(client.watch("op/", position.Position(0, 1), 10.0))
    assert result.error.kind is keyvalue.FailureKind.REFUSED


@pytest.mark.parametrize(("era", "fails"), [(1, True), (2, False)])
def test_a_watch_of_another_era_fails(era, fails):
    # The changes up to the revision of before were never seen.
    client = _Client([{"events": [], "current_rev": 12}], b"2")
    after = position.Position(era, 10)
    result = asyncio.run(client.watch("op/", after, 10.0))
    assert result.is_error() == fails


def test_the_era_is_part_of_the_position():
    client = _Client([_page("a", has_more=False)], b"7")
    result = asyncio.run(client.read_range("servers/"))
    assert (result.ok.position.era, result.ok.position.revision) == (7, 1)
