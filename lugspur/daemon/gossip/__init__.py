"""Gossip membership of the daemons: which processes of the fleet are present, by SWIM with Lifeguard's rules."""
