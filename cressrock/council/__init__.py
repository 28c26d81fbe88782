"""Keeps the former name of the recovery command; the implementation is in `cressrock.consensus`."""
