"""Gossip membership of the daemons: which processes of the fleet are present (SWIM with Lifeguard), without a server."""
