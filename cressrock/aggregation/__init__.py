"""Collects the reports of many processes and sends summaries of them to the consensus replicas."""
