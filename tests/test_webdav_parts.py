"""Paths, conditions, XML and request heads: valid input is parsed, invalid or ambiguous input is refused."""

from datetime import UTC, datetime

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cressrock.webdav import conditions, xml
from cressrock.webdav.paths import InvalidPathError, Path, parse, parse_url
from cressrock.webdav.placement import home
from cressrock.webdav.request import InvalidRequestError, read

REFUSED_TARGETS = [
    "/v/../w",
    "/v/%2e%2e/w",
    "/v/.%2E/w",
    "/v/a%2fb",
    "/v/a%2Fb",
    "/v/a%5cb",
    "/v/%00",
    "/v/a%0d%0ab",
    "/v/%ff",
    "/v/%c0%ae",
    "/v/.",
    "/v/%zz",
    "/v/%2",
    "v/a",
    "/",
    "//",
    "/v/a#b",
    "/v/" + "a" * 5000,
    "/v" + "/a" * 300,
]


@pytest.mark.parametrize("target", REFUSED_TARGETS)
def test_ambiguous_and_invalid_targets_are_refused(target):
    with pytest.raises(InvalidPathError):
        parse(target)


@given(
    st.lists(
        st.text(st.characters(codec="utf-8", exclude_categories=["Cc"]), min_size=1), min_size=1, max_size=6
    )
)
def test_path_round_trip(segments):
    if any(s in (".", "..") or "/" in s or "\\" in s or "\x7f" in s for s in segments):
        return
    path = Path(segments[0], tuple(segments[1:]))
    if len(path.href) <= 4096:
        assert parse(path.href).key == path.key


def test_urls_of_other_hosts_and_invalid_urls():
    assert parse_url("http://one/v/a", "ONE").key == "/v/a"
    assert parse_url("http://two/v/a", "one") is None
    assert parse_url("http://user@one/v/a", "one") is None
    for bad in ("ftp://one/v", "one/v", "//one/v", "http://[::1/v", "http://one/../v"):
        with pytest.raises(InvalidPathError):
            parse_url(bad, "one")


def test_adding_a_shard_moves_paths_only_to_that_shard():
    keys = [f"/v/{i}" for i in range(4000)]
    before = [home(key, (0, 1, 2)) for key in keys]
    after = [home(key, (0, 1, 2, 3)) for key in keys]
    moved = [new for old, new in zip(before, after, strict=True) if old != new]
    assert set(moved) == {3} and 800 < len(moved) < 1200
    assert min(before.count(s) for s in (0, 1, 2)) > 1200


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("(<urn:a>)", True),
        ("(<urn:b>)", False),
        ("(Not <urn:b>)", True),
        ('(["1"])', True),
        ('(<urn:a> ["2"])', False),
        ('(<urn:b>) (["1"])', True),
        ("(Not <DAV:no-lock>)", True),
        ("<http://h/v/other> (<urn:a>)", False),
    ],
)
def test_if_header_evaluation(value, expected):
    lists = conditions.parse_if(value)
    own = conditions.State('"1"', frozenset({"urn:a"}))
    states = {
        one.resource: own if one.resource is None else conditions.State("", frozenset()) for one in lists
    }
    assert conditions.holds(lists, states) is expected


@pytest.mark.parametrize(
    "value",
    [
        "",
        "()",
        "(",
        ")",
        "<a>",
        "(Not)",
        "(Not Not <a>)",
        "(<a>) <b> (<c>)",
        "((<a>))",
        "x",
        '(["a)',
        "(<a>)" * 65,
    ],
)
def test_invalid_if_header_is_refused(value):
    with pytest.raises(conditions.InvalidHeaderError):
        conditions.parse_if(value)


def test_submitted_tokens_are_forwarded_in_a_header_that_always_holds():
    lists = conditions.parse_if('(<urn:a> ["x"]) (<urn:b>)')
    assert conditions.submitted(lists) == {"urn:a", "urn:b"}
    reparsed = conditions.parse_if(conditions.always_true_if(conditions.submitted(lists)))
    assert conditions.holds(reparsed, {None: conditions.State("", frozenset())})
    assert conditions.submitted(reparsed) == {"urn:a", "urn:b"}


def test_preconditions_are_evaluated_in_rfc_order():
    modified = datetime(2026, 1, 1, tzinfo=UTC)
    later, date = "Fri, 02 Jan 2026 00:00:00 GMT", conditions.write_date(modified)
    check = conditions.precondition
    assert check("GET", {"if-none-match": '"1"'}, '"1"', modified) == 304
    assert check("PUT", {"if-none-match": "*"}, '"1"', modified) == 412
    assert check("PUT", {"if-none-match": "*"}, "", None) is None
    assert check("PUT", {"if-match": "*"}, "", None) == 412
    assert check("PUT", {"if-match": '"0", "1"'}, '"1"', modified) is None
    assert check("GET", {"if-modified-since": date}, '"1"', modified) == 304
    assert check("GET", {"if-modified-since": later, "if-none-match": '"2"'}, '"1"', modified) is None
    assert check("GET", {"if-modified-since": "nonsense"}, '"1"', modified) is None
    assert check("PUT", {"if-unmodified-since": "Wed, 31 Dec 2025 00:00:00 GMT"}, '"1"', modified) == 412


def test_byte_ranges():
    assert conditions.byte_range("bytes=0-4", 10) == (0, 5)
    assert conditions.byte_range("bytes=8-99", 10) == (8, 10)
    assert conditions.byte_range("bytes=-3", 10) == (7, 10)
    assert conditions.byte_range("bytes=2-", 10) == (2, 10)
    for ignored in ("items=0-1", "bytes=0-1,4-5", "bytes=5-2", "bytes=-", "bytes=a-b"):
        assert conditions.byte_range(ignored, 10) is None
    for bad in ("bytes=10-", "bytes=-0"):
        with pytest.raises(ValueError, match="satisfiable"):
            conditions.byte_range(bad, 10)


ENTITY_EXPANSION = (
    b'<!DOCTYPE x [<!ENTITY a "aaaa"><!ENTITY b "&a;&a;">]><propfind xmlns="DAV:"><prop>&b;</prop></propfind>'
)


@pytest.mark.parametrize(
    "body",
    [
        ENTITY_EXPANSION,
        b'<!DOCTYPE x SYSTEM "file:///etc/passwd"><propfind xmlns="DAV:"><allprop/></propfind>',
        b'<propfind xmlns="DAV:">' + b"<a>" * 100 + b"</a>" * 100 + b"</propfind>",
        b'<propfind xmlns="DAV:"><prop><a/></propfind>',
        b'<other xmlns="DAV:"/>',
        b"\x00\xff",
        b'<propfind xmlns="DAV:"/>',
        b'<propfind xmlns="DAV:"><prop>' + b"<a/>" * 70000 + b"</prop></propfind>",
    ],
)
def test_entity_expansion_and_invalid_xml_are_refused(body):
    with pytest.raises(xml.InvalidXMLError):
        xml.propfind(body)


def test_multistatus_round_trip():
    source = xml.Response("/v/a", {404: []})
    data = xml.write_multistatus([source, xml.Response("/v/b", {}, 423, "{DAV:}lock-token-submitted")])
    first, second = xml.read_multistatus(data)
    assert (first.href, second.href, second.status) == ("/v/a", "/v/b", 423)
    assert second.error == "{DAV:}lock-token-submitted"


def read_head(method=b"GET", target=b"/v/a", *fields):
    return read(method, target, [(b"host", b"h"), *fields], max_put_bytes=1000)


@pytest.mark.parametrize(
    ("status", "args"),
    [
        (501, (b"BREW",)),
        (400, (b"PUT", b"/v/a", (b"content-length", b"1"), (b"transfer-encoding", b"chunked"))),
        (400, (b"GET", b"/v/a", (b"depth", b"0"), (b"depth", b"1"))),
        (400, (b"PROPFIND", b"/v/a", (b"depth", b"2"))),
        (400, (b"COPY",)),
        (400, (b"COPY", b"/v/a", (b"destination", b"/v/%2e%2e/b"))),
        (502, (b"MOVE", b"/v/a", (b"destination", b"http://elsewhere/v/b"))),
        (400, (b"MOVE", b"/v/a", (b"destination", b"/v/b"), (b"overwrite", b"maybe"))),
        (400, (b"UNLOCK",)),
        (400, (b"PUT", b"/v/a", (b"content-range", b"bytes 0-1/2"))),
        (413, (b"PUT", b"/v/a", (b"content-length", b"1001"))),
        (400, (b"PUT", b"/v/a", (b"idempotency-key", b"a b"))),
        (400, (b"PUT", b"/v/a", (b"if", b"(((("))),
        (400, (b"PUT", b"/v/a", (b"if-match", b"bare"))),
        (421, (b"GET", b"http://elsewhere/v/a")),
    ],
)
def test_invalid_heads_are_refused_with_status(status, args):
    with pytest.raises(InvalidRequestError) as found:
        read_head(*args)
    assert found.value.status == status


def test_optional_headers_are_parsed():
    request = read_head(b"PUT", b"/v/a", (b"prefer", b"respond-async, wait=7"), (b"idempotency-key", b'"k1"'))
    assert (request.wait_s, request.key, request.length) == (7.0, "k1", 0)
    assert read_head(b"OPTIONS", b"*").path is None
    assert conditions.lock_seconds("Infinite, Second-4100000000", longest=600) == 600
    assert conditions.lock_seconds("Second-5", longest=600) == 5
