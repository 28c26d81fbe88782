"""Copies of a volume's shards by zone, kept so that a zone's loss loses nothing acknowledged."""
