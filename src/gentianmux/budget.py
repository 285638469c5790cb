"""Retry budget as a ratio of first attempts."""


class RetryBudget:
    """Allows retries up to a percentage of requests.

    Parameters
    ----------
    percent : int
        Retries allowed per hundred requests.
    burst : float
        Maximum number of unused retries that accumulate.

    Examples
    --------
    >>> budget = RetryBudget(percent=50)
    >>> for _ in range(4): budget.record_request()
    >>> [budget.try_retry() for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, percent: int, burst: float = 10.0) -> None:
        self._retry_ratio = percent / 100
        self._burst = burst
        self._tokens = 0.0

    def record_request(self) -> None:
        """Add a first attempt to the budget."""
        self._tokens = min(self._burst, self._tokens + self._retry_ratio)

    def try_retry(self) -> bool:
        """Consume one retry; false if the budget is exhausted."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
