"""One process looks after a pool's boxes that are down or doubted, and tells all others."""
