"""Record bytes and decisions of the zones' part: `python -m tests.compatibility.record_zones`, once."""

from tests.compatibility import zones_cases as cases
from tests.compatibility.canonical import save


def main() -> None:
    """Write fixtures/zones_wire.json and fixtures/zones_decisions.json."""
    save(
        "zones_wire",
        {
            "values": {name: write(value).hex() for name, (write, _, value) in cases.examples().items()},
            "refusals": cases.refusals(),
            "settings": cases.settings_texts(),
            "contradictions": cases.contradictions(),
            "admin answers": cases.admin_answers(),
        },
    )
    save(
        "zones_decisions",
        {
            "outcome kinds": cases.outcome_kinds(),
            "moves": cases.moves(),
            "local evidence": [cases.local_evidence(seed) for seed in range(30)],
            "fleet evidence": [cases.fleet_evidence(seed) for seed in range(30)],
            "verdicts by reports": [cases.verdicts_by_reports(seed) for seed in range(10)],
            "verdicts by sums": [cases.verdicts_by_sums(seed) for seed in range(7)],
            "choices": [cases.choices(seed) for seed in range(30)],
            "clusters": [cases.clusters(seed) for seed in range(4)],
        },
    )


if __name__ == "__main__":
    main()
