"""Zone failover: which zones are evacuated and taken back, decided in common, and where an edge's reads go.

What is believed: `reports`, `local_evidence`, `fleet_evidence`, `witnesses`, `summary`, `summarizer`.  What
is decided: `assessment`, `transitions`, `evaluation`, `decision`.  What an edge makes of it:
`followed_decision`, `routing`, `token_bucket`.  These are pure; `edge`, `leader` and `admin` run them.  No
rule leans on any of it (`docs/zones.md`).
"""
