"""Record the bytes and decisions of zone failover: `python -m tests.compatibility.record_zones`, once."""

from tests.compatibility import zones_cases as cases
from tests.compatibility.canonical import save


def main() -> None:
    """Write fixtures/zones_wire.json and fixtures/zones_decisions.json."""
    save(
        "zones_wire",
        {
            "values": {name: write(value).hex() for name, (write, _, value) in cases.examples().items()},
            "refusals": cases.error_codes(),
            "settings": cases.settings_json(),
            "contradictions": cases.rejected_settings(),
            "admin answers": cases.admin_answers(),
        },
    )
    save(
        "zones_decisions",
        {
            "outcome kinds": cases.outcome_classifications(),
            "moves": cases.move_results(),
            "local evidence": [cases.local_evidence(seed) for seed in range(30)],
            "fleet evidence": [cases.fleet_evidence(seed) for seed in range(30)],
            "verdicts by reports": [cases.decisions_by_reports(seed) for seed in range(10)],
            "verdicts by sums": [cases.decisions_by_summaries(seed) for seed in range(7)],
            "choices": [cases.routing_results(seed) for seed in range(30)],
            "clusters": [cases.cluster_results(seed) for seed in range(4)],
        },
    )


if __name__ == "__main__":
    main()
