"""Health checks by one daemon of the fleet for all: it checks backends that others report, and sends out the result."""
