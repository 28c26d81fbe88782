"""Replicated key-value state that converges on all processes, its anti-entropy, and the transport."""
