"""Tests of cressrock/planner."""
