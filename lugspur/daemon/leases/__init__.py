"""Leader election for singleton roles: one process at a time holds the lease of a role, by the promises of a majority.

A `Candidate` requests the lease from the `LeaseVoter`s and renews it (`candidate`, `lease_term`, `voter`, `messages`,
`timing`); the voters keep their promises on disk (`promise_store`); receivers of the leader's actions check its fencing
token (`fencing`). Settings keys, commands and files on disk call a role a duty, a voter an elector and an instance id a
life.
"""
