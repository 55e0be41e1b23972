"""Stand-ins for the peers of the proxy: backends, callers and a bare relay. The runtime never imports them."""
