"""Places on engines for generations: one node decides for all gateways."""
