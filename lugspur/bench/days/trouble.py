"""The kinds of entry in a random day: the fields of each and the ranges of their values."""

from __future__ import annotations

from dataclasses import dataclass

Range = tuple[float, float]

CORE_CUTS = ("", "all", "near", "one_way", "seeds", "both", "lure", "leader", "reset", "refuse", "oldest")
MACHINE_CHOICES = ("", "turn", "leader", "reader", "seed", "oldest")
RETURN_CHOICES = ("", "meet", "race", "hard", "drain", "meet hard", "race hard", "race drain hard")


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of entry. Values are drawn uniformly from a range; a range of `None` leaves the field out.

    `how` holds tuples of words; one word is drawn from each. `core` restricts an entry to the control machines.
    `planned` puts an entry into the plan of the day instead of its faults.
    """

    name: str
    planned: bool = False
    for_s: Range | None = None
    share: Range | None = None
    count: tuple[int, int] | None = None
    x: Range | None = None
    gap_s: Range | None = None
    how: tuple[tuple[str, ...], ...] = ()
    core: bool = False


KINDS = (
    Kind("release", True, share=(0.2, 1.0), x=(1.0, 3.0), gap_s=(0.4, 1.5)),
    Kind("scale_in", True, share=(0.08, 0.25), how=(("", "spot"),)),
    Kind("scale_out", True, share=(0.1, 0.4), gap_s=(0.0, 3.0)),
    Kind("roll_term", True, share=(0.3, 1.0), x=(1.0, 3.0), gap_s=(0.3, 1.5), how=(("", "busy"),), core=True),
    Kind("seed_turnover", True),
    Kind("hup", True, share=(0.2, 1.0), gap_s=(0.0, 3.0)),
    Kind("config_change", True, how=(("route", "weights", "timeout", "idle"),)),
    Kind("config_race", True, count=(1, 40), gap_s=(0.2, 1.2)),
    Kind(
        "bad_config",
        True,
        count=(1, 5),
        gap_s=(0.3, 1.0),
        how=(
            (
                "",
                "cut_short",
                "unknown_service",
                "same_place",
                "no_weight",
                "no_timeout",
                "old_version",
                "same_version",
            ),
        ),
    ),
    Kind("replace_core", True, x=(0.1, 1.0), how=(("planned",),)),
    Kind("replace_core", x=(0.1, 1.0), how=(("", "oldest"),)),
    Kind("replace_with_reuse", share=(0.1, 0.25), how=(("", "drain", "dark"),)),
    Kind("answer_lost", for_s=(2.0, 8.0), share=(0.3, 1.0), x=(0.02, 0.06), how=(("", "reset"),)),
    Kind(
        "garble",
        for_s=(2.0, 8.0),
        share=(0.3, 1.0),
        x=(0.01, 0.04),
        how=(("", "extra", "extra late", "unframed", "early"),),
    ),
    Kind("node_kill", for_s=(0.5, 5.0), share=(0.05, 0.3), how=(("", "power"), RETURN_CHOICES)),
    Kind("node_kill", for_s=(0.5, 5.0), count=(1, 1), how=(("", "power"), MACHINE_CHOICES, RETURN_CHOICES), core=True),
    Kind("node_freeze", for_s=(1.0, 12.0), share=(0.05, 0.25)),
    Kind("node_freeze", for_s=(1.0, 22.0), count=(1, 1), how=(MACHINE_CHOICES, RETURN_CHOICES), core=True),
    Kind("node_slow", for_s=(2.0, 8.0), share=(0.05, 0.2), x=(3.0, 8.0)),
    Kind("herd_kill", for_s=(0.4, 2.0), share=(0.3, 1.0), how=(("", "power", "taken"),)),
    Kind("herd_kill", for_s=(0.4, 2.0), share=(1.0, 1.0), how=(("", "power", "taken", "taken all"),), core=True),
    Kind("after_ack_kill", for_s=(0.3, 4.0), count=(1, 2), how=(("", "kill"), ("", "timed", "taken"))),
    Kind("after_ack_wipe", for_s=(0.3, 3.0), how=(("", "timed", "taken", "oldest"),)),
    Kind("disk_full", for_s=(1.0, 6.0), count=(1, 1), how=(("", "leader"),)),
    Kind("disk_stall", for_s=(1.0, 6.0), count=(1, 1), how=(("", "leader"),)),
    Kind("disk_slow", for_s=(1.0, 6.0), count=(1, 2), x=(10.0, 40.0)),
    Kind("core_cut", for_s=(2.0, 21.0), count=(1, 1), how=(CORE_CUTS, RETURN_CHOICES)),
    Kind("node_cut", for_s=(2.0, 12.0), share=(0.1, 0.3), how=(("", "all", "reset", "refuse", "servers"),)),
    Kind("burst", for_s=(1.0, 4.0), x=(1.2, 1.8)),
    Kind("retry_abuse", for_s=(2.0, 6.0), share=(0.1, 0.4), x=(1.0, 3.0)),
    Kind("give_up", for_s=(2.0, 6.0), share=(0.05, 0.3)),
    Kind("srv_crash", for_s=(1.0, 5.0), share=(0.1, 0.2), how=(("", "dark"),)),
    Kind("srv_slow", for_s=(2.0, 6.0), share=(0.1, 0.2), x=(2.0, 5.0)),
    Kind("clock_step", for_s=(2.0, 8.0), share=(0.1, 0.6), x=(500.0, 5000.0), how=(("back", "ahead"),)),
    Kind("reset_conns", share=(0.1, 1.0), x=(0.3, 1.0)),
    Kind("reset_conns", share=(1.0, 1.0), x=(0.5, 1.0), core=True),
    Kind("ack_lost", for_s=(2.0, 10.0), x=(0.4, 0.9)),
)
