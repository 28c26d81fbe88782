"""The scheduler of one host: which request goes to which storage node, and when; pure decisions."""
