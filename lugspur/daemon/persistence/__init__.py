"""What was learned of backends, kept over a restart: a file that is never half written, and aged on reading."""
