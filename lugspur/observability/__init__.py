"""What operators see of a process from outside: metrics, and records of failed requests."""
