"""Only a command that operators know by this name; the code is in `cressrock.consensus`."""
