"""Records the fixtures of rollouts: encodings and decisions of the release whose behaviour is kept."""

from __future__ import annotations

import tempfile
from pathlib import Path

from tests.compatibility import rollout_cases as cases
from tests.compatibility.canonical import FIXTURES, save


def main() -> None:
    """Write the fixtures of rollouts; fails if one exists already."""
    save(
        "rollout_wire",
        {
            "written": {case.name: case.encode(case.value).hex() for case in cases.wire_cases()},
            "read": {
                case.name: [case.data.hex(), cases.outcome(case.decode, case.data)]
                for case in cases.read_cases()
            },
            "names": cases.names(),
        },
    )
    reopened = {}
    with tempfile.TemporaryDirectory() as directory:
        for name in cases.KEEP_FILE_CASES:
            path = Path(directory) / "keep"
            cases.run_simulated(0, lambda n=name, p=path: cases.write_keep_file(n, p))
            data = path.read_bytes()
            with (FIXTURES / f"rollout_keep_{name}.bin").open("xb") as file:
                file.write(data)
            reopened[name] = cases.run_simulated(0, lambda p=path: cases.read_keep_file(p))
            path.unlink()
        save("rollout_kept", reopened)
        save(
            "rollout_decisions",
            {
                stream: {str(seed): digest(seed, Path(directory)) for seed in seeds}
                for stream, digest, seeds in cases.stream_seeds()
            },
        )


if __name__ == "__main__":
    main()
