"""Zones: which of them are given up and taken back, decided in common, and where an edge's reads may go.

`evidence` is what is believed, `verdict` what is decided, `terms` what is asked of the council, `spill` what
an edge makes of it; `carrier` holds them together.  No rule leans on any of it (`docs/zones.md`).
"""
