"""WebDAV front (RFC 4918 classes 1, 2 and 3): turns each request into storage operations and one answer."""
