"""Stand-ins for what the proxy stands between: backends, callers, a bare relay. The runtime never imports them."""
