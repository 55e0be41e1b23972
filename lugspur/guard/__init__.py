"""Load shedding: which requests are admitted while the proxy itself is short of CPU or memory. No I/O."""
