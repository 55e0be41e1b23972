"""State of one request from its arrival to the end of its last attempt."""

from lugspur.load_balancing.model import RequestId
from lugspur.load_balancing.server import Attempt


class Request:
    """A request that has no final answer yet, or that still has attempts out; times in seconds."""

    def __init__(self, request_id: RequestId, class_index: int, deadline: float, max_attempts: int) -> None:
        self.id = request_id
        self.class_index = class_index
        self.deadline = deadline
        self.max_attempts = max_attempts  # by the settings that it began with
        self.useful_until = deadline  # no attempt is waited for longer than this
        self.cost = 1.0  # the work that is expected of it
        self.attempts: list[Attempt] = []
        self.open_attempts = 0
        self.is_answered = False
        self.is_bound = False  # a part of it has passed: the request belongs to one attempt
        self.has_response_begun = False
        self.is_incomplete = False  # a part of it is still to come from its client: no server works on it
        self.is_pending = False  # whether it counts among those that wait for an answer

    def first_that_may_have_run(self) -> Attempt | None:
        """The first attempt that may have run, or may be running."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)
