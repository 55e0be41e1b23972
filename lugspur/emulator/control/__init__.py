"""The control side in virtual time, by the code that runs: drawn histories, every order of events, and its guards."""
