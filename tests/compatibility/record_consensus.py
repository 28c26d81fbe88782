"""Record the wire bytes, stored files and decisions of the consensus.

Run `python -m tests.compatibility.record_consensus` once, on the version whose bytes, files and decisions are
the reference; a recorded fixture is never overwritten.
"""

from __future__ import annotations

import tempfile
from pathlib import Path

from cressrock.consensus import decisions, frames
from cressrock.consensus.raft import messages
from tests.compatibility import consensus_cases as cases
from tests.compatibility.canonical import FIXTURES, save
from tests.compatibility.consensus_streams import STREAMS


def record_wire() -> None:
    """Write the encoding of every example message."""
    save(
        "consensus-wire",
        {
            "messages": {
                name: messages.encode(cases.CLUSTER, cases.SENDER, cases.RECEIVER, message).hex()
                for name, message in cases.replica_messages().items()
            },
            "seats": messages.encode_voters(("a#1", "b#2")).hex(),
            "frames": {name: frames.encode(frame).hex() for name, frame in cases.frame_examples().items()},
            "commands": {name: decisions.encode(command).hex() for name, command in cases.commands().items()},
            "decisions": {
                name: decisions.encode(decision).hex() for name, decision in cases.decisions().items()
            },
            "told": cases.published_decisions(),
            "state": cases.snapshot().snapshot().hex(),
            "seen": cases.reader().to_bytes().hex(),
            "refused": cases.invalid_bytes(),
        },
    )


def record_files() -> None:
    """Write the example files, and the content of each store."""
    with tempfile.TemporaryDirectory() as directory:
        for name, write in cases.FILES.items():
            path = Path(directory) / name
            write(path)
            with (FIXTURES / name).open("xb") as file:
                file.write(path.read_bytes())
        seats = {"consensus-store": "a", "consensus-store-new": "b", "consensus-store-removed": "c"}
        content = {
            name: cases.store_content(cases.copy_of(FIXTURES / f"{name}.bin", Path(directory)), seat)
            for name, seat in seats.items()
        }
        save("consensus-stores", content)


def record_digests() -> None:
    """Write one digest per stream and seed."""
    save(
        "consensus-digests",
        {name: {str(seed): digest(seed) for seed in seeds} for name, (digest, seeds) in STREAMS.items()},
    )


if __name__ == "__main__":
    record_wire()
    record_files()
    record_digests()
