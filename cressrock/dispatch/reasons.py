"""Reason codes of rejections and failures, used alike in responses, log lines and metrics."""

from __future__ import annotations

from enum import StrEnum


class Reason(StrEnum):
    """Why a request was not served; the header `Cressrock-Reason` carries the value."""

    SCHEDULER = "refused-by-scheduler"  # not scheduled before its deadline; nothing ran
    DEADLINE = "deadline-may-have-run"  # deadline passed; an attempt may have run
    ATTEMPTS = "attempts-failed"  # the last attempt failed and no other is permitted
    OVERDUE = "overdue"  # the ledger's last check: no answer after deadline and slack
    FENCED_REFUSAL = "refusal-not-provable"  # the scheduler rejected it although work may have run
    FULL = "gateway-full"  # limit of open requests or stored bytes reached
    STOPPING = "gateway-stopping"
    HALF_DONE = "composition-half-done"  # a composed request stopped between two storage operations
    LISTING = "listing-too-large"
    NODE_ANSWER = "node-answer-unreadable"
    KEY = "key-window-over"  # key was used before and its deduplication window is over
    LEFT = "client-left"
    COPIES = "copies-not-in-sync"  # no valid decision here, or the in-sync copies are unreachable
    COPIES_RUN = "copies-may-have-run"  # a write that is not confirmed by every in-sync copy


class Fence(StrEnum):
    """A rule that an action would have broken; each trip is a defect in the component that ordered it."""

    SEND_AFTER_ANSWER = "rule1-send-after-answer"
    UNKNOWN_REQUEST = "rule1-unknown-request"
    OVERDUE = "rule1-overdue"
    ATTEMPT_IN_FLIGHT = "rule2-attempt-out"
    MAY_HAVE_RUN = "rule2-may-have-run"
    OUTSIDE_DEDUPLICATION_SCOPE = "rule2-outside-group"
    OUTSIDE_DEDUPLICATION_WINDOW = "rule2-outside-window"
    REFUSAL_NOT_PROVABLE = "rule2-refusal-not-provable"
    DRAIN_GRACE_OVER = "rule3-drain"
    NODE_NOT_LISTED = "rule3-node-not-listed"
