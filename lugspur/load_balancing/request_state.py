"""State of a request from its arrival to the end of its last attempt."""

from lugspur.load_balancing.model import RequestId
from lugspur.load_balancing.server import Attempt


class Request:
    """A request that has no final response yet, or that still has open attempts; times in seconds."""

    def __init__(self, request_id: RequestId, class_index: int, deadline: float, max_attempts: int) -> None:
        self.id = request_id
        self.class_index = class_index
        self.deadline = deadline
        self.max_attempts = max_attempts  # of the settings at the request's arrival
        self.useful_until = deadline  # time after which no attempt is waited for
        self.cost = 1.0  # the work that the request is expected to take, in the caller's units
        self.attempts: list[Attempt] = []
        self.open_attempts = 0
        self.is_finished = False
        self.is_bound = False  # a part of the stream was forwarded, so that only one attempt may continue
        self.has_response_begun = False
        self.is_incomplete = False  # a part of the body is still to come, and no server works on the request
        self.is_pending = False  # whether the request counts among its pool's pending ones

    def first_that_may_have_run(self) -> Attempt | None:
        """Return the first attempt that may have run or may be running, or None."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)
