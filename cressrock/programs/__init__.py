"""The programs: composition of the parts and signals only."""
