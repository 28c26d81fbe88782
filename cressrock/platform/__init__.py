"""The dispatcher as the platform runs it: RESP2 for clients and servers, HTTP for discovery, on one core."""
