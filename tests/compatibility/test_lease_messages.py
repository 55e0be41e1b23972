"""The bytes of the messages by which singleton roles are leased, as members of mixed versions exchange them."""

from __future__ import annotations

import pytest

from lugspur.daemon.leases.messages import (
    DenyLease,
    GrantLease,
    MalformedMessageError,
    Message,
    ReleaseLease,
    RequestLease,
    RoleAvailable,
    decode_messages,
    encode_messages,
)

MESSAGES: list[tuple[Message, bytes]] = [
    (
        RequestLease("nightly-report", 7, 1 << 40, 10.0),
        b"\x91\x95\x01\xaenightly-report\x07\xcf\x00\x00\x01\x00\x00\x00\x00\x00\xcb@$\x00\x00\x00\x00\x00\x00",
    ),
    (GrantLease("nightly-report", 7, 3), b"\x91\x94\x02\xaenightly-report\x07\x03"),
    (
        DenyLease("nightly-report", 7, 3, "edge-2", 2.5),
        b"\x91\x96\x03\xaenightly-report\x07\x03\xa6edge-2\xcb@\x04\x00\x00\x00\x00\x00\x00",
    ),
    (
        DenyLease("probe:main", 0, 0, "", 0.0),
        b"\x91\x96\x03\xaaprobe:main\x00\x00\xa0\xcb\x00\x00\x00\x00\x00\x00\x00\x00",
    ),
    (
        ReleaseLease("nightly-report", (1 << 52) - 1, 3),
        b"\x91\x94\x04\xaenightly-report\xcf\x00\x0f\xff\xff\xff\xff\xff\xff\x03",
    ),
    (RoleAvailable("nightly-report", 7), b"\x91\x93\x05\xaenightly-report\x07"),
]
SEVERAL = b"\x92\x94\x02\xa1d\x01\x01\x93\x05\xa1d\x01"


@pytest.mark.parametrize(("message", "body"), MESSAGES)
def test_every_message_keeps_its_bytes_in_both_directions(message: Message, body: bytes) -> None:
    assert encode_messages([message]) == body
    assert decode_messages(body) == [message]


def test_every_kind_of_message_is_covered() -> None:
    assert {type(message) for message, _ in MESSAGES} == set(Message.__args__)
    assert [body[2] for _, body in MESSAGES] == [1, 2, 3, 3, 4, 5]


def test_a_body_holds_any_number_of_messages() -> None:
    assert decode_messages(SEVERAL) == [GrantLease("d", 1, 1), RoleAvailable("d", 1)]
    assert encode_messages([GrantLease("d", 1, 1), RoleAvailable("d", 1)]) == SEVERAL
    assert (encode_messages([]), decode_messages(b"\x90")) == (b"\x90", [])


@pytest.mark.parametrize(
    "body",
    [
        b"\x91\x94\x02\xa0\x07\x03",  # a role without a name
        b"\x91\x94\x02\xd9\x61" + b"r" * 97 + b"\x07\x03",  # a name of 97 characters
        b"\x91\x94\x02\xa1d\xcf\x00\x10\x00\x00\x00\x00\x00\x00\x03",  # the epoch 2**52
        b"\x91\x95\x01\xa1d\x07\x03\xcb\x40\xf5\x18\x10\x00\x00\x00\x00",  # a lease of 86401 seconds
        b"\x91\x96\x03\xa1d\x07\x03\xa0\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00",  # not a number of seconds
        b"\x91\x94\x06\xa1d\x07\x03",  # a kind that is not in use
        b"\x91\x93\x02\xa1d\x07",  # a field too few
    ],
)
def test_the_limits_of_the_fields_stay(body: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        decode_messages(body)


def test_the_largest_values_within_the_limits_are_read() -> None:
    body = (
        b"\x91\x95\x01\xd9\x60"
        + b"r" * 96
        + b"\xcf\x00\x0f\xff\xff\xff\xff\xff\xff\x00\xcb\x40\xf5\x18\x00\x00\x00\x00\x00"
    )
    assert decode_messages(body) == [RequestLease("r" * 96, (1 << 52) - 1, 0, 86400.0)]
    assert encode_messages(decode_messages(body)) == body
