"""Evidence on its way up: tellers, a collector for each zone, one summary a zone for the council's seats."""
