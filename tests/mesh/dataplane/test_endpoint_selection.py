"""Selection of endpoints by zone, latency and load, circuit breakers, and the record if none was selected."""

from __future__ import annotations

from meshcalls import call, route
from simulatedproxy import OK, SimulatedProxy, run_scenario

from lugspur.mesh.control.items import read_changes
from lugspur.mesh.dataplane.request_outcome import RequestOutcome
from lugspur.observability.failures import BreakerRejection, SelectionSummary


def test_selection_prefers_the_own_zone_and_low_latency_and_load() -> None:
    def scenario(rig: SimulatedProxy) -> None:
        counts = {"10.0.0.0": 0, "10.0.0.1": 0, "10.0.0.2": 0}
        for _ in range(60):
            rig.ask()
            counts[rig.sent[-1][0]] += 1
            rig.reply(RequestOutcome.ANSWERED, OK)
            for endpoint in rig.proxy.services["s"].values():
                endpoint.latency = 1.0
                endpoint.breakers.clear()
        assert counts["10.0.0.0"] == 60  # The endpoints differ in their zones only.
        for _ in range(60):
            for endpoint in rig.proxy.services["s"].values():
                endpoint.latency = 4.0 if endpoint.id == "i-0" else 1.0
                endpoint.breakers.clear()
            rig.ask()
            counts[rig.sent[-1][0]] += 1
            rig.reply(RequestOutcome.ANSWERED, OK)
        assert counts["10.0.0.0"] == 60 and min(counts.values()) > 10

    run_scenario(scenario)


def test_without_a_reachable_backend_a_request_is_rejected_at_once() -> None:
    def scenario(rig: SimulatedProxy) -> None:
        rig.unreachable = {"10.0.0.0", "10.0.0.1", "10.0.0.2"}
        assert rig.ask().answers[0][0] == 503
        rig.proxy.update_endpoints("s", {})
        assert rig.ask().answers[0][0] == 503

    run_scenario(scenario)


def test_rejections_on_one_route_open_no_breaker_of_another() -> None:
    def scenario(rig: SimulatedProxy) -> None:
        for entry in read_changes(call(route("urgent"))):
            rig.proxy.table.apply(entry)
        for _ in range(100):
            rig.ask()
            while rig.proxy.open_requests:
                rig.reply(RequestOutcome.NOT_RUN, was_sent=False)
        assert rig.proxy.results["breaker-refused"] > 20  # The breakers of the first route have opened.
        before = len(rig.sent)
        for _ in range(20):
            rig.ask(b"/urgent/1")
            rig.reply(RequestOutcome.ANSWERED, OK)
        assert len(rig.sent) == before + 20

    run_scenario(scenario, slack=0.0)


def test_the_record_of_a_failure_shows_why_no_endpoint_was_selected() -> None:
    def scenario(rig: SimulatedProxy) -> None:
        rig.unreachable = {"10.0.0.0"}
        for _ in range(200):
            rig.ask()
            while rig.proxy.open_requests:
                rig.reply(RequestOutcome.NOT_RUN, was_sent=False)
        selections = [failed.pick for failed in rig.proxy.failures.latest() if not failed.steps]
        assert selections and all(pick is not None and (pick.known, pick.unreachable) == (3, 1) for pick in selections)
        drawn = [refusal for pick in selections if pick is not None for refusal in pick.refusals]
        assert drawn and all(r.term == "errors" and r.chance > 0.3 and r.backend in ("i-1", "i-2") for r in drawn)
        rig.unreachable = {f"10.0.0.{n}" for n in range(3)}
        rig.ask()
        assert rig.proxy.failures.latest()[-1].pick == SelectionSummary(3, 0, 3, 0)
        assert (
            SelectionSummary(3, 0, 1, 1, (BreakerRejection("i-1", 0.5, "errors"),)).text() == "3/0/1/1/i-1:errors:0.50"
        )

    run_scenario(scenario, slack=0.0)
