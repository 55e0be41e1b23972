"""The admin listener: operators' requests to one running proxy, at a separate address, as Envoy's admin interface."""
