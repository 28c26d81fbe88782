"""Which processes there are: SWIM with Lifeguard's extensions, without sockets and clock."""
