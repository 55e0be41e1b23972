"""The process of a control node, which serves the replica on its disk to peers, subscribers and operators."""
