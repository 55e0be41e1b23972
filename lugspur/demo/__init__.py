"""`lugspur demo`: three tiers of stand-in backends behind one daemon, and how their failures affect the callers."""
