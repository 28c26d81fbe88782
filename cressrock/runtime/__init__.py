"""One process's part in the cluster: membership, gossip, consensus, and the sockets they use."""
