"""The command line of `lugspur`."""
