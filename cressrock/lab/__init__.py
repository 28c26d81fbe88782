"""The laboratory: stand-ins for storage nodes and node list, faults, troubled days, the judge of the rules.

Nothing outside this room imports it.
"""
