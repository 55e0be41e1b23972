"""`lugspur demo`: three tiers of stand-in backends behind one daemon, and what happens to its callers as they fail."""
