"""Simulations of the load balancer, the gossip protocol and the consensus protocols in virtual time.

They reach sizes and designs that tests over sockets do not reach.
"""
