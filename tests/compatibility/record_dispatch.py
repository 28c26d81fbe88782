"""Records what the dispatch package decides, sends and keeps.

Run as `python -m tests.compatibility.record_dispatch`.  The cache, `fixtures/dispatch_node_list_cache.json`,
is a response as the list gives it: the package keeps a response byte for byte.
"""

from tests.compatibility import dispatch_cases as cases
from tests.compatibility.canonical import FIXTURES, save


def main() -> None:
    """Write the fixture."""
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
