"""What processes know of each other: members and spread state (pure), datagrams and exchange (carrier)."""
