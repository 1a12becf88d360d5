"""Keeps requests from servers that they would crash."""

from __future__ import annotations

from wasabicross.gateway.clock import now_s
from wasabicross.gateway.crashes.crash_evidence import CrashEvidence, Verdict
from wasabicross.gateway.crashes.crash_log import log_trial
from wasabicross.gateway.crashes.request_digest import is_request_digest


class RequestGuard:
    """Keeps a request from servers if it would crash them.

    :param evidence: what may crash servers.
    :param causes: the request's possible causes of crashes.
    """

    def __init__(
        self, evidence: CrashEvidence, causes: tuple[str, ...]
    ) -> None:
        self._evidence = evidence
        self._causes = causes
        self._is_trial = False

    def refuses(self) -> bool:
        """Return whether the request may not be sent to a server now."""
        if self._is_trial:
            return False
        verdict = self._evidence.verdict(self._causes, now_s())
        if verdict is Verdict.trial:
            self._is_trial = True
            log_trial(self._causes)
        return verdict is Verdict.refused

    @property
    def has_crashed_servers(self) -> bool:
        """Return whether the request itself is convicted, not only a part."""
        convicted = self._evidence.convicted()
        return any(
            is_request_digest(cause) and cause in convicted
            for cause in self._causes
        )
