"""RESP2 (the Redis serialization protocol): codec, the front for clients, connections to storage servers."""
