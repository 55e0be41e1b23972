"""The process of a control node: it serves the replica on its disk to peers, subscribers and operators."""
