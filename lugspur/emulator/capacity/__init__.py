"""Capacity planning: tables and a plot of resource use by mesh size, from a sweep of the operators' bench."""
