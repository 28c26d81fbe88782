"""Replicates a volume's shards across zones, so that losing a zone loses no acknowledged write."""
