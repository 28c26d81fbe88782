"""Raft (Ongaro 2014) for one consensus group: state, replication, elections and messages, without I/O."""
