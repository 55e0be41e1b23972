"""Model tests of the control plane: the production code in virtual time, under random histories and all event orders.

Also here: a check that each safety guard of the production code is needed by some history or model.
"""
