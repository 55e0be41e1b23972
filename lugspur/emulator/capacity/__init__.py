"""What the control side costs, by cause and size: measured on hollow fleets, fitted, and put into docs/CAPACITY.md."""
