"""The dispatcher as the platform runs it: RESP2 in and out, discovery over HTTP, one core, little memory."""
