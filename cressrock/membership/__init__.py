"""Cluster membership and failure detection: SWIM with Lifeguard's extensions, free of I/O and clocks."""
