"""Decisions that planners make by consensus: the replicated log, its store, replicas and clients."""
