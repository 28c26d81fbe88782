"""Tests of cressrock/link."""
