"""The cluster runtime of one process: membership, gossip, consensus, and the sockets they use."""
