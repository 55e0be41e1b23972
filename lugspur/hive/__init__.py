"""The mesh: foragers beside the backends carry requests, combs keep what all must know. See docs/hive.md."""
