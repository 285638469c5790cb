"""Exceptions with a numbered result code."""

from .codes import ResultCode


class GentianmuxError(Exception):
    """Error with a numbered code and a human-readable detail.

    Parameters
    ----------
    code : ResultCode
        Result code.
    detail : str
        Cause of the error; must not contain a key or a payload.
    retry_after_ms : int
        Suggested delay before a retry, in ms; 0 for none.
    """

    def __init__(self, code: ResultCode, detail: str = "", retry_after_ms: int = 0) -> None:
        super().__init__(f"{int(code)} {code.label}: {detail or code.info.meaning}")
        self.code = code
        self.detail = detail or code.info.meaning
        self.retry_after_ms = retry_after_ms


class FrameError(GentianmuxError):
    """Invalid frame; its connection is closed."""


class LogError(GentianmuxError):
    """Failed call of the platform's log."""
