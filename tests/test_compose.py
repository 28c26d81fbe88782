"""Compositions run against scripted and generated node results: one answer, no false success or data loss."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.dispatch.ledger import Verdict
from cressrock.dispatch.operation import Reply
from cressrock.dispatch.reasons import Reason
from cressrock.dispatch.transport import Denial
from cressrock.webdav import xml
from cressrock.webdav.compose import Answer, CompositionContext, Volume, compose
from cressrock.webdav.paths import parse
from cressrock.webdav.request import read
from cressrock.webdav.xml import D

CONTEXT = CompositionContext({"v": Volume("v", (0, 1, 2)), "one": Volume("one", (7,))}, lambda: "urn:uuid:1")
SCHEDULER_REJECTION = Denial(Verdict.REJECTED, Reason.SCHEDULER, 1000)
DEADLINE_FAILURE = Denial(Verdict.FAILED, Reason.DEADLINE)


def request(method, target, *fields, body=b"", length=0):
    found = read(method.encode(), target.encode(), [(b"host", b"h"), *fields], max_put_bytes=1 << 20)
    found.content, found.length = body, length
    return found


def path_at_home(shard, start="/v/a"):
    """Return a path whose home shard is `shard`."""
    return next(f"{start}{i}" for i in range(99) if CONTEXT.home(parse(f"{start}{i}")) == shard)


def stat(path, *, collection=False, tokens=(), etag='"e1"', dead=True):
    from lxml import etree

    props = []
    if not collection:
        tag = etree.Element(D + "getetag")
        tag.text = etag
        props.append(tag)
    discovery = etree.Element(D + "lockdiscovery")
    for token in tokens:
        active = etree.SubElement(discovery, D + "activelock")
        etree.SubElement(etree.SubElement(active, D + "locktoken"), D + "href").text = token
    props.append(discovery)
    if dead:
        props.append(etree.Element("{x:}colour"))
    slash = "/" if collection else ""
    content = xml.write_multistatus([xml.Response(path + slash, {200: props})])
    return Reply(207, [(b"content-location", (path + slash).encode())], content)


def run_composition(found, script):
    """Run a composition with `script`, which maps a call to its result; returns the answer and the calls."""
    calls, steps, results = [], compose(found, CONTEXT), None
    while True:
        try:
            batch = next(steps) if results is None else steps.send(results)
        except StopIteration as stop:
            assert isinstance(stop.value, Answer)
            return stop.value, calls
        assert batch, "a composition yielded an empty batch of calls"
        calls.extend(batch)
        results = [script(call) for call in batch]


def move_request(overwrite=b"T", tokens=b""):
    source, target = path_at_home(0), path_at_home(1, "/v/b")
    fields = [(b"destination", target.encode()), (b"overwrite", overwrite)]
    if tokens:
        fields.append((b"if", tokens))
    return source, target, request("MOVE", source, *fields)


def successful_nodes(source, **changes):
    """Return a script in which every call succeeds, except the methods given in `changes`."""

    def script(call):
        if call.method in changes:
            return changes[call.method]
        match call.method:
            case "PROPFIND":
                return stat(source) if call.path.key == source else Reply(404, [])
            case "GET":
                return Reply(200, [(b"content-type", b"text/x")], b"payload")
            case "PUT":
                return Reply(201, [])
            case "PROPPATCH":
                return Reply(207, [], b"")
            case _:
                return Reply(204, [])

    return script


def test_move_between_shards_copies_payload_and_properties_before_deleting_the_source():
    source, _, found = move_request()
    answer, calls = run_composition(found, successful_nodes(source))
    assert answer.status == 201
    assert [c.method for c in calls][2:] == ["GET", "PUT", "PROPPATCH", "DELETE"]
    assert (b"if-match", b'"e1"') in calls[-1].headers  # deletes only the version that was copied
    assert calls[3].body == b"payload"


@pytest.mark.parametrize(
    ("failing", "result", "status"),
    [
        ("GET", DEADLINE_FAILURE, 504),
        ("GET", SCHEDULER_REJECTION, 503),
        ("PUT", DEADLINE_FAILURE, 504),
        ("PUT", Reply(507, []), 507),
        ("PROPPATCH", DEADLINE_FAILURE, 504),
        ("PROPPATCH", SCHEDULER_REJECTION, 502),
        ("DELETE", DEADLINE_FAILURE, 504),
        ("DELETE", SCHEDULER_REJECTION, 502),
        ("DELETE", Reply(412, []), 409),
        ("DELETE", Reply(423, []), 423),
    ],
)
def test_partial_move_reports_failure_and_keeps_the_source(failing, result, status):
    source, _, found = move_request()
    answer, calls = run_composition(found, successful_nodes(source, **{failing: result}))
    assert answer.status == status
    assert [c.method for c in calls if c.path.key == source].count("DELETE") == (failing == "DELETE")


def test_move_of_a_locked_source_requires_its_lock_token():
    source, _, found = move_request()
    answer, calls = run_composition(
        found, lambda c: stat(source, tokens=["urn:l"]) if c.path.key == source else Reply(404, [])
    )
    assert answer.status == 423 and all(c.safe for c in calls)
    source, _, found = move_request(tokens=b"(<urn:l>)")
    good = successful_nodes(source)

    def script(call):
        own = call.method == "PROPFIND" and call.path.key == source
        return stat(source, tokens=["urn:l"]) if own else good(call)

    answer, calls = run_composition(found, script)
    assert answer.status == 201 and b"<urn:l>" in dict(calls[-1].headers)[b"if"]


def test_copy_and_move_refuse_existing_target_without_overwrite_and_same_path():
    source, target, found = move_request(b"F")
    answer, calls = run_composition(found, lambda c: stat(c.path.key))
    assert answer.status == 412 and all(c.safe for c in calls)
    copy_to_itself = request("COPY", source, (b"destination", source.encode()))
    assert run_composition(copy_to_itself, successful_nodes(source)) == (Answer(403), [])


def test_collection_is_created_and_deleted_at_its_home_shard_last():
    path = path_at_home(2)
    answer, calls = run_composition(
        request("MKCOL", path), lambda c: Reply(404 if c.method == "PROPFIND" else 201, [])
    )
    assert answer.status == 201 and [c.shard for c in calls if c.method == "MKCOL"] == [0, 1, 2]
    collection_reply = Reply(403, [(b"content-location", (path + "/").encode())])

    def script(call):
        return collection_reply if (b"depth", b"0") in call.headers else Reply(204, [])

    answer, calls = run_composition(request("DELETE", path), script)
    assert answer.status == 204 and [c.shard for c in calls] == [2, 0, 1, 2]


def test_deleting_a_collection_with_a_locked_member_keeps_its_home_record():
    path = path_at_home(2)
    locked = xml.write_multistatus([xml.Response(path + "/m", {}, 423)])

    def script(call):
        if (b"depth", b"0") in call.headers:
            return Reply(403, [(b"content-location", (path + "/").encode())])
        return Reply(207, [], locked) if call.shard == 1 else Reply(204, [])

    answer, calls = run_composition(request("DELETE", path), script)
    assert answer.status == 207 and b"423" in answer.body
    assert [c.shard for c in calls] == [2, 0, 1]


def test_listing_takes_members_from_their_home_shard_and_fails_if_a_shard_does():
    path = path_at_home(0)
    members = [f"{path}/m{i}" for i in range(12)]

    def script(call):
        responses = [xml.Response(path + "/", {200: []})] + [xml.Response(m, {200: []}) for m in members]
        return Reply(207, [(b"content-location", (path + "/").encode())], xml.write_multistatus(responses))

    listing_request = request("PROPFIND", path, (b"depth", b"1"))
    answer, _ = run_composition(listing_request, script)
    assert [r.href for r in xml.read_multistatus(answer.body)] == [path + "/", *sorted(members)]
    answer, _ = run_composition(listing_request, lambda c: SCHEDULER_REJECTION if c.shard == 1 else script(c))
    assert answer.status == 503 and (b"retry-after", b"1") in answer.headers
    assert run_composition(request("PROPFIND", path, (b"depth", b"infinity")), script)[0].status == 403


def test_collection_lock_is_rolled_back_if_a_shard_fails():
    path = path_at_home(0)
    lock_body = (
        b'<lockinfo xmlns="DAV:"><lockscope><exclusive/></lockscope><locktype><write/></locktype></lockinfo>'
    )
    good = Reply(200, [(b"content-location", (path + "/").encode()), (b"lock-token", b"<urn:uuid:1>")])

    def script(call):
        return DEADLINE_FAILURE if call.method == "LOCK" and call.shard == 2 else good

    answer, calls = run_composition(request("LOCK", path, body=lock_body), script)
    assert answer.status == 504
    assert [(c.method, c.shard) for c in calls][3:] == [("UNLOCK", 0), ("UNLOCK", 1)]


def test_if_header_across_shards_is_evaluated_before_the_operation():
    path, other = path_at_home(0), path_at_home(1, "/v/b")
    condition = f'<http://h{other}> (["e9"])'.encode()
    put = request("PUT", path, (b"if", condition))
    answer, calls = run_composition(put, lambda c: stat(other) if c.method == "PROPFIND" else Reply(201, []))
    assert answer.status == 412 and [c.method for c in calls] == ["PROPFIND"]


RESULTS = st.sampled_from(
    [
        SCHEDULER_REJECTION,
        DEADLINE_FAILURE,
        Reply(200, [], b"x"),
        Reply(201, []),
        Reply(204, []),
        Reply(404, []),
        Reply(405, []),
        Reply(409, []),
        Reply(412, []),
        Reply(423, []),
        Reply(507, []),
        Reply(207, [], b"<broken"),
        Reply(207, [], xml.write_multistatus([])),
    ]
)
METHODS = ["GET", "HEAD", "PUT", "DELETE", "MKCOL", "COPY", "MOVE", "PROPFIND", "PROPPATCH", "LOCK", "UNLOCK"]


@settings(max_examples=600, deadline=None)
@given(
    st.sampled_from(METHODS),
    st.booleans(),
    st.booleans(),
    st.lists(st.one_of(RESULTS, st.just("stat"), st.just("col")), max_size=60),
)
def test_any_results_end_in_one_answer_and_move_deletes_source_only_after_copy(
    method, collection, condition, results
):
    """For any results in any order the composition ends with a valid status and deletes only after a copy."""
    source, target = path_at_home(0), path_at_home(1, "/v/b")
    fields = [
        (b"destination", target.encode()),
        (b"lock-token", b"<urn:l>"),
        (b"depth", b"0" if method == "PROPFIND" else b"infinity"),
    ]
    if method in ("GET", "HEAD", "PUT"):
        fields.pop()
    if condition:
        fields.append((b"if", f"<{target}> (Not <urn:z>)".encode()))
    found = request(method, source, *fields)
    pending_results, copy_calls = list(results), []

    def script(call):
        result = pending_results.pop(0) if pending_results else SCHEDULER_REJECTION
        if result in ("stat", "col"):
            result = stat(call.path.key, collection=collection or result == "col")
        is_depth_zero = (b"depth", b"0") in call.headers
        if method == "MOVE" and call.method == "DELETE" and call.path.key == source and is_depth_zero:
            assert copy_calls, "the source was deleted before it was copied"
        if (
            call.method in ("PUT", "COPY", "MOVE")
            and isinstance(result, Reply)
            and result.status in (201, 204)
        ):
            copy_calls.append(call)
        return result

    answer, calls = run_composition(found, script)
    assert 200 <= answer.status < 600 and len(calls) < 200
    if answer.status == 503:
        assert any(k == b"retry-after" for k, _ in answer.headers)
    if not results:  # every call was rejected
        assert answer.status in (503, 400, 403, 405, 415)
