"""Which backends there are: sources of lists, each telling whole lists and changes of them."""
