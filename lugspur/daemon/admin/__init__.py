"""The admin listener: operators' requests to one running proxy, at a second address (as Envoy's admin interface)."""
