"""The planner: runs the scheduler, with everything it has learned, for one or more edges."""
