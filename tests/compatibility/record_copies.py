"""Record replication's encodings and decisions; run once, on the version whose behaviour is to be kept."""

from __future__ import annotations

from tests.compatibility import copies_cases as cases
from tests.compatibility.canonical import save


def main() -> None:
    """Write the fixtures `copies_wire` and `copies_decisions`; existing ones are not overwritten."""
    save(
        "copies_wire",
        {
            "written": {case.name: case.encode(case.value).hex() for case in cases.wire_cases()},
            "read": {
                case.name: [case.data.hex(), cases.outcome(case.decode, case.data)]
                for case in cases.read_cases()
            },
            "names": cases.names(),
            "stored": cases.stored(),
        },
    )
    save(
        "copies_decisions",
        {
            stream: {str(seed): digest(seed) for seed in seeds}
            for stream, digest, seeds in cases.stream_seeds()
        },
    )


if __name__ == "__main__":
    main()
