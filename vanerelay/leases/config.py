"""Configuration of leases, read from the `leases` block of the operators' file."""

from __future__ import annotations

from dataclasses import dataclass, field

from vanerelay.config_field import config_field
from vanerelay.interface import SECOND, Duration
from vanerelay.leases.voter import LeaseTerms, Voters
from vanerelay.operator_config import Block

VOTER_COUNTS = (3, 5, 7)
"""Allowed numbers of voters: odd, as an even number tolerates no more failures than one voter fewer."""

MAX_COMMAND_ARGUMENTS = 16
"""Limit of arguments in a maintenance command, set by the engines' protocol lines."""

MIN_TERM = SECOND // 10
"""Shortest term: a term has to be several times a round trip between gateways."""


@dataclass(frozen=True, slots=True)
class MaintenanceTask:
    """A command that one gateway sends to every engine.

    Attributes:
        name: the task's name.
        command: the command's arguments, in which the placeholders @ID@, @TASK@, @NUMBER@, @SERIAL@,
            @HOLDER@ and @FROM@ are replaced.
        interval: time between two commands to one engine.
        timeout: time that an engine has to reply.
        shards: number of parts into which engines are divided; each part has a lease of its own.
        max_in_flight: maximum number of commands of one shard in flight at once.
    """

    name: str
    command: tuple[str, ...] = config_field("words")
    interval: Duration = config_field("every", default=60 * SECOND)
    timeout: Duration = config_field("patience", default=2 * SECOND)
    shards: int = 1
    max_in_flight: int = config_field("at_once", default=4)


@dataclass(frozen=True, slots=True)
class LeasesConfig:
    """The content of the `leases` block.

    Attributes:
        voters: the gateways that vote, by name.
        folder: the folder of a voter's store.
        weights: weights of gateways by name, 1.0 where none is given; a gateway of weight 0 holds no task.
        history: file of the operation history that the laboratory checks; empty for none.
        terms: durations and bounds of leases.
        maintenance_tasks: commands that are sent to all engines.
    """

    voters: Voters
    folder: str = ""
    weights: dict[str, float] = field(default_factory=dict)
    history: str = ""
    terms: LeaseTerms = LeaseTerms()
    maintenance_tasks: tuple[MaintenanceTask, ...] = config_field("chores", default=())


def read_config(block: Block) -> LeasesConfig:
    """Reads the block.

    Raises:
        OperatorConfigError: a value is missing, unknown or out of range; the error names the line.
    """
    voters = _read_voters(block)
    terms_block = block.find_block("terms")
    terms = _read_terms(terms_block) if terms_block is not None else LeaseTerms()
    tasks = tuple(_read_maintenance_task(chore) for chore in block.blocks("chore"))
    config = block.fill(LeasesConfig, voters=voters, terms=terms, maintenance_tasks=tasks)
    block.reject_unknown()
    if terms_block is not None:
        terms_block.reject_unknown()
    return config


def _read_voters(block: Block) -> Voters:
    current = block.attribute("voters", tuple[str, ...], ())
    previous = block.attribute("voters_before", tuple[str, ...], ())
    version = block.attribute("version", int, 1)
    _check_voters(block, "voters", current)
    if previous:
        _check_voters(block, "voters_before", previous)
    return Voters(version, current, previous)


def _check_voters(block: Block, key: str, names: tuple[str, ...]) -> None:
    if len(names) not in VOTER_COUNTS or len(set(names)) != len(names):
        listed = ", ".join(names) or "none"
        raise block.error(f"{key}: {listed}, expected 3, 5 or 7 different gateway names", key)


def _read_terms(block: Block) -> LeaseTerms:
    terms = block.fill(LeaseTerms)
    if not MIN_TERM <= terms.term <= terms.max_term:
        raise block.error("term: expected at least 100ms and at most the value of longest", "term")
    if not 0 < terms.clock_drift < 1:
        raise block.error(
            f"drift: {terms.clock_drift}, expected a fraction between 0 and 1, such as 0.02", "drift"
        )
    return terms


def _read_maintenance_task(block: Block) -> MaintenanceTask:
    task = block.fill(MaintenanceTask, name=block.label)
    block.reject_unknown()
    if not task.name or "/" in task.name:
        raise block.error('chore: expected a name without "/", such as chore "refresh"')
    if not 0 < len(task.command) <= MAX_COMMAND_ARGUMENTS or "@ID@" not in task.command:
        raise block.error(
            "words: expected 1 to 16 arguments, one with @ID@, which engines repeat in replies", "words"
        )
    if task.shards < 1 or task.max_in_flight < 1 or task.interval <= 0 or task.timeout <= 0:
        raise block.error("shards, at_once, every, patience: expected more than 0", "shards")
    return task
