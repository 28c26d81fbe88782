"""Decisions that planners make in common: the replicated log, its store, replicas and clients."""
