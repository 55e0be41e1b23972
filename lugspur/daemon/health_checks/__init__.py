"""Health checks by one daemon of a fleet: it checks the backends that others report, and sends them the results."""
