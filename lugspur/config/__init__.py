"""The configuration of a proxy: from the platform's environment, or from a configuration file."""
