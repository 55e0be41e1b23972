"""The bytes of the health reports that daemons of one fleet send each other about backends.

They are bodies of gossip datagrams, and daemons of different versions exchange them while an upgrade rolls through.
The literals were written by the build of 2 December 2026 and are never regenerated.
"""

from __future__ import annotations

import msgspec
import pytest

from lugspur.daemon.health_checks.messages import Doubt, Message, Verdict, pack, unpack
from lugspur.daemon.probers import PROBING

FORMS: dict[str, tuple[Message, str]] = {
    "report of a failed connection": (
        Doubt(pool="main", box="b-1", passed_on=False),
        "94 01 a46d61696e a3622d31 c2",
    ),
    "the same, passed on": (
        Doubt(pool="main", box="b-1", passed_on=True),
        "94 01 a46d61696e a3622d31 c3",
    ),
    "backends that are down": (
        Verdict(pool="main", epoch=5, serial=6, down=["b-1", "b-2"]),
        "95 02 a46d61696e 05 06 92 a3622d31 a3622d32",
    ),
    "none is down": (
        Verdict(pool="main", epoch=(1 << 52) - 2, serial=(1 << 52) - 1, down=[]),
        "95 02 a46d61696e cf000ffffffffffffe cf000fffffffffffff 90",
    ),
}


@pytest.mark.parametrize("form", FORMS)
def test_each_report_is_read_and_written_byte_for_byte(form: str) -> None:
    message, text = FORMS[form]
    literal = bytes.fromhex(text)
    assert unpack(literal) == message
    assert pack(message) == literal


def test_there_is_a_literal_for_every_kind_of_report() -> None:
    kinds = {info.cls for info in msgspec.inspect.type_info(Message).types}  # type: ignore[attr-defined]
    assert {type(message) for message, _ in FORMS.values()} == kinds


def test_a_report_that_was_not_passed_on_may_leave_that_out() -> None:
    assert unpack(bytes.fromhex("93 01 a46d61696e a3622d31")) == Doubt(pool="main", box="b-1")


def test_the_topic_under_which_reports_travel() -> None:
    assert PROBING == 2
