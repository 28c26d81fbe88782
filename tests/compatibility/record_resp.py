"""Record how RESP2 is parsed and encoded: `python -m tests.compatibility.record_resp`."""

from tests.compatibility import canonical, resp_cases

if __name__ == "__main__":
    canonical.save(resp_cases.FIXTURE, resp_cases.content())
