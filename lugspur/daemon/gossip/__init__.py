"""Gossip membership of the daemons: SWIM with Lifeguard's extensions tracks which processes of a fleet are present."""
