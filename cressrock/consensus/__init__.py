"""What planners decide in common: a replicated log (pure), its store, decrees (pure), their carrier."""
