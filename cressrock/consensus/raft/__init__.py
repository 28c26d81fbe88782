"""Raft (Ongaro 2014): pure state, replication, elections and messages of one consensus group."""
