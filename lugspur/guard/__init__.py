"""What may still come in when the proxy itself is short of CPU or memory. No I/O."""
