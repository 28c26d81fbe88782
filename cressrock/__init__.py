"""cressrock: fair, failure-tolerant decisions for hosts that share storage nodes."""
