"""Service discovery: where the endpoint lists of pools come from, and what is applied over them."""
