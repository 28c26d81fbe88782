"""Replicated key-value state that every process holds alike, its anti-entropy, and the transport."""
