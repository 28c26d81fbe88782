"""Replicated key-value state: each entry owned by its origin, told by gossip, repaired by anti-entropy."""
