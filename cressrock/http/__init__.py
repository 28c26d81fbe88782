"""HTTP/1.1 on any byte stream, both roles, by h11; used by fronts, node client, node list and admin."""
