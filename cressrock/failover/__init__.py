"""Zone failover: evacuates unreachable zones, restores them, and routes each edge's reads (`docs/zones.md`).

Evidence: `reports`, `local_evidence`, `fleet_evidence`, `witnesses`, `summary`, `summarizer`.  Decisions:
`assessment`, `transitions`, `evaluation`, `decision`.  Routing on an edge: `followed_decision`, `routing`,
`token_bucket`.  These modules are pure; `edge`, `leader` and `admin` run them.  No correctness guarantee
depends on this package.
"""
