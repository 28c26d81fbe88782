"""Records the dispatch package's decisions, the bytes that it sends, and the files that it writes.

Run as `python -m tests.compatibility.record_dispatch`.  The cache `fixtures/dispatch_node_list_cache.json` is
an unchanged discovery response, since the package stores responses byte for byte.
"""

from tests.compatibility import dispatch_cases as cases
from tests.compatibility.canonical import FIXTURES, save


def main() -> None:
    """Write the fixture `dispatch.json`."""
    cache = FIXTURES / "dispatch_node_list_cache.json"
    save(
        "dispatch",
        {
            "digests": {name: [run(seed) for seed in cases.SEEDS] for name, run in cases.STREAMS.items()},
            "node bytes": {name: cases.node_bytes(name) for name in cases.OPERATIONS},
            "discovery bytes": cases.discovery_bytes(),
            "cached report": cases.cached_report(cache),
        },
    )


if __name__ == "__main__":
    main()
