"""Both message formats: any split of the bytes is decoded, and malformed input is rejected."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stairplank.platform import binary, jsonlines
from stairplank.platform.messages import MAX_MESSAGE_BYTES, Kind, Message, ProtocolError

ids = st.integers(0, 2**64 - 1).map(lambda n: f"{n:016x}")
texts = st.text(max_size=200)
messages = st.builds(
    Message,
    st.sampled_from(Kind),
    ids,
    st.dictionaries(st.sampled_from(sorted(binary.CODES)), texts, max_size=5),
    st.none() | st.integers(0, 255),
    st.none() | texts,
)
cuts = st.lists(st.integers(0, 4000), max_size=8)


def pieces(data: bytes, at: list[int]) -> list[bytes]:
    """Split data at the given offsets."""
    offsets = [0, *sorted(min(a, len(data)) for a in at), len(data)]
    return [data[a:b] for a, b in zip(offsets, offsets[1:], strict=False)]


@given(st.lists(messages, max_size=6), cuts)
def test_binary_messages_are_decoded_however_their_bytes_are_split(
    sent: list[Message], at: list[int]
) -> None:
    reader = binary.MessageReader()
    data = b"".join(binary.encode(m) for m in sent)
    assert [m for piece in pieces(data, at) for m in reader.feed(piece)] == sent
    assert reader.pending_bytes == 0


def test_a_placement_request_as_the_platform_encodes_it() -> None:
    data = bytes.fromhex("0027 01 9b1f03aa5c7e2d41 64 0005") + b"batch" + bytes.fromhex("66 0004") + b"1500"
    data += bytes.fromhex("82 0009") + b"9d41c07a\n"
    data = (len(data) - 2).to_bytes(2, "big") + data[2:]
    (message,) = binary.MessageReader().feed(data)
    assert message == Message(
        Kind.PLACE, "9b1f03aa5c7e2d41", {"class": "batch", "left": "1500"}, body="9d41c07a\n"
    )


@given(st.lists(st.binary(max_size=3000), max_size=10))
def test_random_bytes_raise_a_protocol_error_or_are_buffered_within_a_bound(chunks: list[bytes]) -> None:
    reader = binary.MessageReader()
    try:
        for chunk in chunks:
            reader.feed(chunk)
            assert reader.pending_bytes < MAX_MESSAGE_BYTES
    except ProtocolError:
        pass


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\x01",  # the length is larger than any message may be
        b"\x00\x03\x01\x00\x00",  # the message is too short for an id
        b"\x00\x09\x63" + bytes(8),  # the message type is unknown
        b"\x00\x0c\x01" + bytes(8) + b"\x64\x00\x09",  # a parameter runs past the end of the message
        b"\x00\x0b\x01" + bytes(8) + b"\x64\x00",  # a parameter has no complete length
        b"\x00\x0e\x0c" + bytes(8) + b"\x80\x00\x02\x01\x01",  # a cause has two bytes
        b"\x00\x0d\x01" + bytes(8) + b"\x64\x00\x01\xff",  # a parameter is not valid UTF-8
    ],
)
def test_malformed_binary_messages_raise_a_protocol_error(data: bytes) -> None:
    good = binary.encode(Message(Kind.HEALTH_CHECK, "0" * 16, cause=0))
    with pytest.raises(ProtocolError) as caught:
        binary.MessageReader().feed(good + data)
    assert len(caught.value.messages) == 1  # type: ignore[attr-defined]  # the message before it is kept


@given(st.lists(messages, max_size=6), cuts)
def test_json_messages_are_decoded_however_their_bytes_are_split(sent: list[Message], at: list[int]) -> None:
    valid = [
        m
        for m in sent
        if not (m.kind is Kind.ANSWER and not m.body)
        and not (m.kind in (Kind.RELEASE, Kind.HEALTH_CHECK_RESULT) and m.cause is None)
    ]
    lines = jsonlines.LineReader()
    data = b"".join(jsonlines.encode(m) for m in valid)
    received = [jsonlines.decode(line) for piece in pieces(data, at) for line in lines.feed(piece)]
    assert received == valid


@given(st.binary(max_size=2000) | st.text(max_size=500).map(str.encode))
def test_random_lines_raise_a_protocol_error_or_are_complete_messages(data: bytes) -> None:
    try:
        for line in jsonlines.LineReader().feed(data + b"\n"):
            message = jsonlines.decode(line)
            assert message.kind is not Kind.ANSWER or message.body
    except ProtocolError:
        pass


@pytest.mark.parametrize(
    "change",
    [
        {"uid": "9B1F03AA5C7E2D41"},
        {"uid": 7},
        {"body": ""},
        {"body": 9},
        {"meta": []},
        {"meta": {"load": []}},
        {"reason": True},
        {"reason": 999},
        {"kind": "ringing"},
        {"kind": []},
        {"body": "\ud800"},
        {"meta": {"load": "\udfff"}},
    ],
)
def test_an_answer_with_an_invalid_field_raises_a_protocol_error(change: dict[str, object]) -> None:
    good = {"kind": "running", "uid": "9b1f03aa5c7e2d41", "meta": {}, "body": "b"}
    assert jsonlines.decode(json.dumps(good).encode()).body == "b"
    with pytest.raises(ProtocolError):
        jsonlines.decode(json.dumps(good | change).encode())


def test_a_line_without_an_end_is_buffered_within_a_bound() -> None:
    lines = jsonlines.LineReader()
    with pytest.raises(ProtocolError) as caught:
        lines.feed(b'{"a":1}\n')
        for _ in range(40):
            lines.feed(b"x" * 1000)
            assert lines.pending_bytes <= MAX_MESSAGE_BYTES
    assert caught.value.lines == []  # type: ignore[attr-defined]


def test_a_message_that_is_too_long_is_not_encoded() -> None:
    long = Message(Kind.ANSWER, "0" * 16, body="x" * MAX_MESSAGE_BYTES)
    for encode in (binary.encode, jsonlines.encode):
        with pytest.raises(ValueError, match="bytes"):
            encode(long)
