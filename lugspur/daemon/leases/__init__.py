"""Leader election for singleton roles: at most one process holds the lease of a role, promised by a majority of voters.

A `Candidate` requests the lease from the `LeaseVoter`s and renews it (`candidate`, `lease_term`, `voter`, `messages`,
`timing`); the voters store their promises on disk (`promise_store`); receivers of the leader's actions check its
fencing token (`fencing`). In settings keys, commands and files on disk, a role is called a duty, a voter an elector and
an instance id a life.
"""
