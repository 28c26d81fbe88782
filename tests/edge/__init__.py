"""Tests of cressrock/edge."""
