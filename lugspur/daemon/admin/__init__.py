"""The second address: calls of operators to one running proxy."""
