"""Days for the operators' bench, drawn at random: every kind of trouble, at any moment, more than once."""
