"""Service discovery: sources of the endpoint lists of pools, and overrides of their entries."""
