"""What a proxy is told at its start: by the platform's environment, or by a file of its own."""
