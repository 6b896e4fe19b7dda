"""Tests of the supervisor state: takeover by a successor, restarts and rollback."""

from __future__ import annotations

import pytest

from vanerelay.interface import SECOND
from vanerelay.rollout.supervisor_state import SupervisorState, Timeouts


class RecordingControl:
    """A process control that records its calls, with the state under test.

    Attributes:
        calls: The calls, each with the release of the process.
        replies: The results of orders.
        now: The simulated time.
        processes: The started processes.
    """

    def __init__(self, first="old"):
        self.calls, self.replies, self.now, self.processes = [], [], 0, []
        self.state = SupervisorState(self, Timeouts(), frozenset({"old", "new"}), first)
        self.state.begin(0)

    def start(self, process):
        self.calls.append(("start", process.release))
        self.processes.append(process)

    def terminate(self, process):
        self.calls.append(("end", process.release))

    def kill(self, process):
        self.calls.append(("kill", process.release))

    def save_release(self, release):
        self.calls.append(("keep", release))

    def order(self, release="new"):
        """Orders a release; returns the process started last."""
        self.state.order(self.now, release, self.replies.append)
        return self.processes[-1]

    def exit_process(self, process, after=SECOND):
        """Lets a process exit and waits past the backoff; returns the process started last."""
        self.now += after
        self.state.process_ended(self.now, process, "code 9")
        self.now += 6 * SECOND
        self.state.check_timeouts(self.now)
        return self.processes[-1]


def test_successor_takes_over_once_it_is_ready():
    control = RecordingControl()
    control.state.process_ready(0, control.processes[0])
    new = control.order()
    assert control.calls == [("start", "old"), ("start", "new")] and control.replies == []
    control.state.process_ready(10, new)
    assert control.calls[2:] == [("keep", "new"), ("end", "old")] and control.replies == [None]


@pytest.mark.parametrize("exits", [True, False], ids=["successor exits", "successor hangs"])
def test_old_process_keeps_serving_when_the_successor_does_not_become_ready(exits):
    control = RecordingControl()
    new = control.order()
    if exits:
        control.state.process_ended(SECOND, new, "code 2")
    else:
        control.state.check_timeouts(60 * SECOND)
        assert control.calls[-1] == ("kill", "new")
    assert (
        len(control.replies) == 1
        and control.state.serving.release == "old"
        and control.state.current == "old"
    )


def test_release_is_rolled_back_after_two_exits_in_its_probation_but_not_after_one():
    control = RecordingControl()
    control.state.process_ready(0, control.processes[0])
    control.state.process_ready(0, control.order())
    restarted = control.exit_process(control.state.serving)
    assert restarted.release == "new"
    assert control.exit_process(restarted).release == "old" and control.calls[-2:] == [
        ("keep", "old"),
        ("start", "old"),
    ]
    control.order()
    assert "ended by itself" in control.replies[-1] and control.calls[-1] == ("start", "old")
    control.state.forget_failures()
    assert control.order().release == "new"


def test_process_is_restarted_with_the_same_release_when_it_exits_after_the_probation():
    control = RecordingControl()
    control.state.process_ready(0, control.order())
    for _ in range(4):
        assert control.exit_process(control.state.serving, 100 * SECOND).release == "new"
