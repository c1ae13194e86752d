"""Tests of reply classification and of forwarded headers."""

import hypothesis
import hypothesis.strategies
import pytest

from hyssoptack.http1 import message
from hyssoptack.planning import callcommand
from hyssoptack.planning import callplan_test
from hyssoptack.platform import headers


def reply(status, *fields):
    return message.Reply(status=status, headers=fields, body=b"b")


SIGNED = (b"X-Server-Stamp", b"s")
NOT_RUN = (b"X-Not-Executed", b"1")


@pytest.mark.parametrize(
    ("given", "kind"),
    [
        (reply(200, SIGNED), callcommand.OutcomeKind.ANSWERED),
        (reply(200), callcommand.OutcomeKind.FAILED),
        (
            reply(200, SIGNED, (b"Content-Encoding", b"gzip")),
            callcommand.OutcomeKind.FAILED,
        ),
        (reply(404, SIGNED), callcommand.OutcomeKind.ANSWERED),
        (reply(404), callcommand.OutcomeKind.FAILED),
        (reply(500, SIGNED), callcommand.OutcomeKind.FAILED),
        (reply(503, NOT_RUN), callcommand.OutcomeKind.SHED),
        (reply(429, NOT_RUN), callcommand.OutcomeKind.SHED),
        (reply(503, SIGNED), callcommand.OutcomeKind.FAILED),
        (reply(421), callcommand.OutcomeKind.NOT_RUN),
    ],
)
def test_replies_are_classified_by_status_signature_and_headers(given, kind):
    assert headers.reply_outcome(given).kind is kind


def test_a_signed_404_is_a_failed_part_of_a_merged_answer():
    given = reply(404, SIGNED)
    assert headers.part_outcome(given).kind is callcommand.OutcomeKind.FAILED


@pytest.mark.parametrize("status", [429, 503])
def test_an_executed_failure_is_not_forwarded_with_a_not_executed_status(
    status,
):
    # The caller would read these statuses as "not executed".
    assert headers.reply_outcome(reply(status, SIGNED)).reply is None


def request(*fields, target=b"/a?q=1"):
    return message.Request(
        method=b"GET",
        target=target,
        headers=fields,
        body=b"",
        received_ms=0.0,
        keep_alive=True,
    )


HOST = (b"Host", b"shop.example:80")
ID = (b"X-Request-Id", b"r1")


def test_metadata_of_a_request_is_read():
    metadata = headers.read_metadata(
        request(HOST, ID, (b"X-Request-Deadline", b"250"))
    )
    assert metadata == headers.RequestMetadata(
        request_id=b"r1", deadline_ms=250.0, host="shop.example"
    )


@pytest.mark.parametrize(
    "given",
    [
        request(HOST),
        request(HOST, ID, ID),
        request(ID),
        request(HOST, HOST, ID),
        request(HOST, ID, target=b"http://other/"),
    ],
)
def test_requests_with_invalid_metadata_are_rejected(given):
    assert isinstance(headers.read_metadata(given), str)


def test_a_deadline_that_is_not_a_number_is_ignored():
    metadata = headers.read_metadata(
        request(HOST, ID, (b"X-Request-Deadline", b"soon"))
    )
    assert metadata.deadline_ms is None


def test_hop_by_hop_and_forged_headers_are_not_forwarded():
    given = request(
        HOST,
        ID,
        (b"Connection", b"close, X-Hop"),
        (b"X-Hop", b"1"),
        (b"X-Expected-Instance", b"forged"),
        (b"X-Keep", b"2"),
    )
    data = headers.upstream_request(
        headers.forwarded_request(given), callplan_test.upstream("i-1"), 99.9
    )
    assert data.startswith(b"GET /a?q=1 HTTP/1.1\r\n")
    assert b"X-Request-Deadline: 99\r\n" in data
    assert b"X-Expected-Instance: i-1\r\n" in data
    assert b"X-Keep: 2" in data
    for absent in (b"forged", b"X-Hop", b"close"):
        assert absent not in data


@pytest.mark.parametrize(
    ("values", "key"),
    [
        ((), None),
        ((b"",), None),
        ((b"Bearer",), None),
        ((b"Bearer k",), b"k"),
        ((b"bEARER \t k ",), b"k"),
        ((b"Bearer k k",), None),
        ((b"Basic k",), None),
        ((b"Bearer k", b"Bearer k"), None),
        ((b"Bearer " + b"k" * 8_192,), b"k" * 8_192),
        ((b"Bearer \xe9\xff",), b"\xe9\xff"),
    ],
)
def test_a_key_is_read_only_from_a_single_bearer_header(values, key):
    fields = ((b"AUTHORIZATION", each) for each in values)
    assert headers.caller_key(request(HOST, *fields)) == key


def test_no_spelling_of_key_or_team_headers_is_kept():
    given = request(
        HOST,
        (b"AUTHORIZATION", b"Bearer k"),
        (b"authorization", b"Bearer l"),
        (b"X-TENANT-ID", b"forged"),
        (b"x-tenant-id", b"forged"),
        (b"X_Tenant_Id", b"forged"),
    )
    assert headers.without_identity(given).headers == (HOST,)


def test_a_connection_header_does_not_strip_the_request_id():
    # An upstream answers 400 to a request without an id.
    request = message.Request(
        method=b"GET",
        target=b"/x",
        headers=(
            (b"Host", b"h"),
            (b"X-Request-Id", b"r1"),
            (b"Connection", b"x-request-id, host, x-own"),
            (b"X-Own", b"1"),
        ),
        body=b"",
        received_ms=0.0,
        keep_alive=True,
        is_first=True,
    )
    head = headers.forwarded_request(request).head
    assert b"X-Request-Id: r1" in head
    assert b"Host: h" in head
    assert b"X-Own" not in head


def test_a_connection_header_does_not_strip_the_signature_of_a_reply():
    given = reply(
        200, SIGNED, (b"Connection", b"x-server-stamp, x-own"), (b"X-Own", b"1")
    )
    assert headers.single_reply(given).headers == (SIGNED,)


def test_the_team_is_forwarded_though_a_connection_option_names_it():
    given = request(HOST, (b"Connection", b"x-tenant-id"))
    assert b"X-Tenant-Id: red" in headers.forwarded_request(given, "red").head
    assert b"X-Tenant-Id" not in headers.forwarded_request(given).head


_NAMES = hypothesis.strategies.sampled_from(
    (
        b"Authorization",
        b"AUTHORIZATION",
        b"Connection",
        b"X-Tenant-Id",
        b"x-tenant-id",
        b"X-Other",
    )
)
_VALUES = hypothesis.strategies.sampled_from(
    (b"Bearer k-secret", b"bearer  k-secret", b"x-tenant-id", b"close", b"blue")
)


@hypothesis.given(
    hypothesis.strategies.lists(hypothesis.strategies.tuples(_NAMES, _VALUES))
)
def test_upstreams_get_one_team_and_no_key_whatever_a_caller_sends(fields):
    given = headers.without_identity(request(HOST, *fields))
    head = headers.forwarded_request(given, "red").head
    lines = [line.lower().split(b": ") for line in head.split(b"\r\n")[1:]]
    names = [line[0] for line in lines]
    assert names.count(b"x-tenant-id") == 1
    assert [b"x-tenant-id", b"red"] in lines
    assert b"authorization" not in names
