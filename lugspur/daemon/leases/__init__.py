"""Duties that one process holds at a time: by lease, with an epoch that every act carries."""
