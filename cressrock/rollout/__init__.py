"""Staged rollout of rules, halted automatically when the candidate causes more faults (`docs/rollout.md`)."""
