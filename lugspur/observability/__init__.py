"""What operators see of a process from outside: figures, and an account of each request that failed."""
