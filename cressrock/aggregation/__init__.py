"""Reports of many processes on their way to the consensus replicas, by collectors that summarize them."""
