"""The gateway and planner programs: they compose the other packages and handle signals."""
