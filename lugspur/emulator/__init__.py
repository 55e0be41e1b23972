"""An emulator of what lugspur balances, in virtual time: for designs and sizes that sockets don't reach."""
