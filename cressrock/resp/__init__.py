"""RESP2 (the Redis serialization protocol): codec, client connections, and connections to storage servers."""
