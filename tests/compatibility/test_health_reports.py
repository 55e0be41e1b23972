"""The bytes of the health reports that daemons of one fleet send each other about backends.

They are bodies of gossip datagrams, and daemons of different versions exchange them while an upgrade rolls through.
The literals were written by the build of 2 December 2026 and are never regenerated.
"""

from __future__ import annotations

import msgspec
import pytest

from lugspur.daemon.health_checks.messages import (
    ConnectionFailure,
    HealthReport,
    Message,
    decode_message,
    encode_message,
)
from lugspur.daemon.probers import HEALTH_CHECKS_TOPIC

FORMS: dict[str, tuple[Message, str]] = {
    "report of a failed connection": (
        ConnectionFailure(pool="main", backend="b-1", is_forwarded=False),
        "94 01 a46d61696e a3622d31 c2",
    ),
    "the same, forwarded": (
        ConnectionFailure(pool="main", backend="b-1", is_forwarded=True),
        "94 01 a46d61696e a3622d31 c3",
    ),
    "backends that are down": (
        HealthReport(pool="main", epoch=5, sequence_number=6, unhealthy=["b-1", "b-2"]),
        "95 02 a46d61696e 05 06 92 a3622d31 a3622d32",
    ),
    "none is down": (
        HealthReport(pool="main", epoch=(1 << 52) - 2, sequence_number=(1 << 52) - 1, unhealthy=[]),
        "95 02 a46d61696e cf000ffffffffffffe cf000fffffffffffff 90",
    ),
}


@pytest.mark.parametrize("form", FORMS)
def test_each_report_is_read_and_written_byte_for_byte(form: str) -> None:
    message, text = FORMS[form]
    literal = bytes.fromhex(text)
    assert decode_message(literal) == message
    assert encode_message(message) == literal


def test_there_is_a_literal_for_every_kind_of_report() -> None:
    kinds = {info.cls for info in msgspec.inspect.type_info(Message).types}  # type: ignore[attr-defined]
    assert {type(message) for message, _ in FORMS.values()} == kinds


def test_a_report_that_was_not_forwarded_may_leave_that_out() -> None:
    assert decode_message(bytes.fromhex("93 01 a46d61696e a3622d31")) == ConnectionFailure(pool="main", backend="b-1")


def test_the_topic_under_which_reports_travel() -> None:
    assert HEALTH_CHECKS_TOPIC == 2
