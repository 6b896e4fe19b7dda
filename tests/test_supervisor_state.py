"""Which release a supervisor runs, what follows it, and when it goes back."""

from __future__ import annotations

import pytest

from vanerelay.interface import SECOND
from vanerelay.rollout.supervisor_state import SupervisorState, Timeouts


class RecordingControl:
    """A process control that records its calls; `replies` to orders."""

    def __init__(self, first="old"):
        self.calls, self.replies, self.now, self.children = [], [], 0, []
        self.state = SupervisorState(self, Timeouts(), frozenset({"old", "new"}), first)
        self.state.begin(0)

    def start(self, child):
        self.calls.append(("start", child.release))
        self.children.append(child)

    def terminate(self, child):
        self.calls.append(("end", child.release))

    def kill(self, child):
        self.calls.append(("kill", child.release))

    def save_release(self, release):
        self.calls.append(("keep", release))

    def order(self, release="new"):
        self.state.order(self.now, release, self.replies.append)
        return self.children[-1]

    def ends(self, child, after=SECOND):
        self.now += after
        self.state.process_ended(self.now, child, "code 9")
        self.now += 6 * SECOND
        self.state.check_timeouts(self.now)
        return self.children[-1]


def test_the_next_release_takes_over_once_it_is_ready():
    control = RecordingControl()
    control.state.process_ready(0, control.children[0])
    new = control.order()
    assert control.calls == [("start", "old"), ("start", "new")] and control.replies == []
    control.state.process_ready(10, new)
    assert control.calls[2:] == [("keep", "new"), ("end", "old")] and control.replies == [None]


@pytest.mark.parametrize("ends", [True, False], ids=["it ends", "it hangs"])
def test_a_successor_that_does_not_become_ready_leaves_the_old_process_in_place(ends):
    control = RecordingControl()
    new = control.order()
    if ends:
        control.state.process_ended(SECOND, new, "code 2")
    else:
        control.state.check_timeouts(60 * SECOND)
        assert control.calls[-1] == ("kill", "new")
    assert (
        len(control.replies) == 1
        and control.state.serving.release == "old"
        and control.state.current == "old"
    )


def test_a_single_end_is_chance_and_two_soon_after_bring_the_old_release_back():
    control = RecordingControl()
    control.state.process_ready(0, control.children[0])
    control.state.process_ready(0, control.order())
    again = control.ends(control.state.serving)
    assert again.release == "new"
    assert control.ends(again).release == "old" and control.calls[-2:] == [("keep", "old"), ("start", "old")]
    control.order()
    assert "ended by itself" in control.replies[-1] and control.calls[-1] == ("start", "old")
    control.state.forget_failures()
    assert control.order().release == "new"


def test_a_process_that_ended_long_after_is_started_again_as_it_is():
    control = RecordingControl()
    control.state.process_ready(0, control.order())
    for _ in range(4):
        assert control.ends(control.state.serving, 100 * SECOND).release == "new"
