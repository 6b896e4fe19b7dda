"""Clients of a run: they send what the schedule says at its times, and log what became of it."""

from __future__ import annotations

import dataclasses
import random
import re
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Sequence
from typing import Any

from vanerelay.history import History
from vanerelay.interface import MILLISECOND, SECOND, Duration, Idempotency
from vanerelay.lab.client_connection import Answer, ClientConnection, ClientQuery
from vanerelay.lab.event_log import EventKind, QueryResult, RequestOutcome
from vanerelay.lab.faulty_connection import FaultyConnection
from vanerelay.lab.run_context import RunContext
from vanerelay.lab.scenario_config import ClientBehaviour, ServiceClass
from vanerelay.lab.schedule import ClientRequest, cumulative_load_shares

CLIENTS = "clients"
"""The name of the clients as a party."""
WATCH_PAST_DEADLINE = 2 * SECOND
"""For which a query is watched for answers that come too late."""
MAX_CONNECTIONS = 8
"""To one gateway at a time."""
FOLLOW_DELAY = 5 * MILLISECOND
"""After a load has ended until its reader comes."""
LAST_LOAD_HINT = re.compile(r"after=@LAST@ ?")
HINT_WITHOUT_LOAD = "stale<=1h"
"""Where a hint names the last load and there was none yet."""


class ClientLoad:
    """All clients, and the front that spreads their queries over the gateways.

    Attributes:
        ready: gateways that the front uses.
        open_requests: that are not over yet.
    """

    def __init__(
        self,
        context: RunContext,
        behaviour: ClientBehaviour,
        requests: Sequence[ClientRequest],
        gateways: Sequence[str],
        address: Callable[[str], str],
        release: Callable[[str], str],
        seed: int,
        service_classes: Sequence[ServiceClass] = (),
    ) -> None:
        """`address` and `release` tell them of a gateway, by its name."""
        self._context, self._behaviour, self._requests = context, behaviour, requests
        self._gateways, self._address, self._release = list(gateways), address, release
        self._load_shares = cumulative_load_shares(len(gateways), behaviour.load_skew)
        self._next_request = 0
        self._random = random.Random(f"{seed}/tries")
        self.ready = set[str]()
        self._connections = defaultdict[str, list[ClientConnection]](list)
        self.open_requests, self._query_count = 0, 0
        self._history = context.history(CLIENTS)
        self._last_loads = dict[int, str]()  # by table group: the reference of the last load
        self._followers = defaultdict[str, list[ServiceClass]](list)
        for service_class in service_classes:
            if service_class.follows:
                self._followers[service_class.follows].append(service_class)

    def begin(self) -> None:
        """Begins with the load."""
        now = self._context.since_load_start()
        while self._next_request < len(self._requests) and self._requests[self._next_request].at <= now:
            request = self._requests[self._next_request]
            self._next_request += 1
            self.open_requests += 1
            self._attempt(request, self._gateway_by_share(request.gateway_draw), request.gateway_draw)
        if self._next_request < len(self._requests):
            wait = max(1, self._requests[self._next_request].at - now)
            self._context.call_later(wait, self.begin)

    def _gateway_by_share(self, draw: float) -> str:
        place = bisect_left(self._load_shares, draw)
        return self._gateways[min(len(self._gateways) - 1, place)]

    def _attempt(self, request: ClientRequest, gateway: str, draw: float) -> None:
        """One query of a request to a gateway, or to another where the front does not use that one."""
        request.attempts += 1
        if gateway not in self.ready:
            others = [name for name in self._gateways if name in self.ready]
            if not others:
                self._retry(request, RequestOutcome.LOST)
                return
            gateway = others[int(draw * 1e6) % len(others)]
        self._query_count += 1
        query = ClientQuery(request, f"{self._query_count:016x}", gateway)
        free = next((one for one in self._connections[gateway] if one.is_free), None)
        if free is not None:
            self._send(free, query)
        elif self._may_connect(gateway):
            self._connect(query)
        else:
            self._retry(request, RequestOutcome.LOST)

    def _may_connect(self, gateway: str) -> bool:
        if len(self._connections[gateway]) >= MAX_CONNECTIONS:
            self._connections[gateway] = [one for one in self._connections[gateway] if not one.is_closing]
        return len(self._connections[gateway]) < MAX_CONNECTIONS

    def _connect(self, query: ClientQuery) -> None:
        gateway = query.gateway

        def opened(faulty_connection: FaultyConnection) -> ClientConnection:
            connection = ClientConnection(self, gateway, faulty_connection)
            self._connections[gateway].append(connection)
            self._context.call_later(0, self._send, connection, query)
            return connection

        def failed() -> None:
            self._notice_failure(gateway, self._behaviour.failure_notice_delay)
            self._retry(query.request, RequestOutcome.LOST)

        self._context.network.connect(CLIENTS, gateway, self._address(gateway), opened, failed)

    def _send(self, connection: ClientConnection, query: ClientQuery) -> None:
        request = query.request
        if connection.is_closing:
            self._retry(request, RequestOutcome.LOST)
            return
        time_left = request.service_class.deadline - self._age(request)
        time_left_ms = max(1, time_left // MILLISECOND)
        query.hint = self._hint(request) if request.hint else ""
        query.began = History.now()
        connection.send(query, _payload(query, time_left_ms))
        deadline = time_left_ms * MILLISECOND
        release = self._release(query.gateway)
        self._log(EventKind.SENT, query, value=float(deadline), detail=release)
        watch = deadline + WATCH_PAST_DEADLINE
        query.timer = self._context.call_later(watch, self._give_up, connection, query)

    def _hint(self, request: ClientRequest) -> str:
        hint = request.hint.replace("@SESSION@", f"s{request.session}")
        last_load = self._last_loads.get(request.table, "")
        if last_load:
            return hint.replace("@LAST@", last_load)
        return LAST_LOAD_HINT.sub("", hint) or HINT_WITHOUT_LOAD

    def _age(self, request: ClientRequest) -> Duration:
        return self._context.since_load_start() - request.at

    def answered(self, query: ClientQuery, answer: Answer) -> None:
        """A gateway has answered a query."""
        request = query.request
        query.stop_timer()
        self._write_history(query, answer)
        if answer.result is QueryResult.COMPLETED and request.service_class.is_load:
            self._follow(query)
        self._log(EventKind.ANSWERED, query, detail=answer.result)
        if answer.result is QueryResult.COMPLETED:
            is_met = self._age(request) <= request.service_class.latency_objective
            self._end(request, query.gateway, RequestOutcome.MET if is_met else RequestOutcome.LATE)
        else:
            retry_after_ms = answer.fields.get("cooldown", "")
            retry_after = int(retry_after_ms) * MILLISECOND if retry_after_ms.isdecimal() else 0
            self._retry(request, RequestOutcome(answer.result), retry_after, query.gateway)

    def _write_history(self, query: ClientQuery, answer: Answer) -> None:
        """Of queries on table groups, for the checkers of histories."""
        request = query.request
        if not query.hint and not request.service_class.is_load:
            return
        fields: dict[str, Any] = dict(answer.fields)
        self._history.add(
            "query",
            query.began,
            ref=query.reference,
            table=request.table,
            group=request.service_class.name,
            session=f"s{request.session}" if "@SESSION@" in request.hint else "",
            hint=query.hint,
            manager=query.gateway,
            result=answer.result,
            engine=answer.body.split(b"\t")[1].decode() if answer.body.count(b"\t") > 1 else "",
            **fields,
        )

    def _follow(self, load: ClientQuery) -> None:
        """A load has ended: those that read it come at once, by another gateway."""
        self._last_loads[load.request.table] = load.reference
        for service_class in self._followers.get(load.request.service_class.name, ()):
            others = [name for name in self._gateways if name in self.ready and name != load.gateway]
            request = dataclasses.replace(
                load.request,
                number=-self._query_count,
                at=self._context.since_load_start() + FOLLOW_DELAY,
                service_class=service_class,
                work=service_class.work,
                memory_mb=round(service_class.memory_mb),
                hint=service_class.hint.replace("@LAST@", load.reference),
                attempts=0,
                is_over=False,
            )
            self.open_requests += 1
            place = self._gateways.index(self._random.choice(others)) if others else 0
            draw = (place + 0.5) / len(self._gateways)
            self._context.call_later(FOLLOW_DELAY, self._attempt, request, self._gateways[place], draw)

    def closing(self, gateway: str) -> None:
        """A gateway takes no more queries on a connection: the front asks again whether it is ready."""
        self._notice_failure(gateway, 0)

    def connection_closed(self, connection: ClientConnection, queries: list[ClientQuery]) -> None:
        """A connection is over. What was open on it is the client's to repeat, if it may."""
        if connection in self._connections[connection.gateway]:
            self._connections[connection.gateway].remove(connection)
        for query in queries:
            query.stop_timer()
            self._log(EventKind.LOST, query)
            self._retry(query.request, RequestOutcome.LOST, 0, query.gateway)
        if queries:
            self._notice_failure(connection.gateway, self._behaviour.failure_notice_delay)

    def _notice_failure(self, gateway: str, delay: Duration) -> None:
        """The front learns that a gateway takes no queries; it asks again whether it is ready."""
        self._context.call_later(delay, self.ready.discard, gateway)

    def _give_up(self, connection: ClientConnection, query: ClientQuery) -> None:
        """Nothing came long past the deadline. For the checker it stays open; the client cancels."""
        query.timer = None
        connection.cancel(query)
        self._end(query.request, query.gateway, RequestOutcome.UNANSWERED)

    def _retry(
        self, request: ClientRequest, outcome: RequestOutcome, retry_after: Duration = 0, gateway: str = ""
    ) -> None:
        """Another query, where clients send one, else the end; never past the deadline.

        Idempotent queries are retried after any failure, others after a rejection, or where no gateway was
        reached (`gateway` is empty).
        """
        service_class, behaviour = request.service_class, self._behaviour
        is_idempotent = service_class.idempotency is Idempotency.IDEMPOTENT
        may_retry = outcome is RequestOutcome.REJECTED or is_idempotent or not gateway
        wait = retry_after or self._backoff(request)
        is_too_late = self._age(request) + wait >= service_class.deadline
        if request.is_over or not may_retry or request.attempts > behaviour.max_retries or is_too_late:
            self._end(request, gateway, outcome)
            return
        draw = self._random.random()
        self._context.call_later(wait, self._attempt, request, self._gateway_by_share(draw), draw)

    def _backoff(self, request: ClientRequest) -> Duration:
        backoff = self._behaviour.backoff * 2 ** (request.attempts - 1)
        return int(backoff * (0.5 + self._random.random()))

    def _end(self, request: ClientRequest, gateway: str, outcome: RequestOutcome) -> None:
        if request.is_over:
            return
        request.is_over = True
        self.open_requests -= 1
        self._context.log(
            EventKind.REQUEST_ENDED,
            service_class=request.service_class.name,
            gateway=gateway,
            detail=outcome,
            request=request.number,
            value=float(self._age(request)),
            query=self._release(gateway) if gateway else "",
        )

    def _log(self, kind: EventKind, query: ClientQuery, **fields: Any) -> None:
        self._context.log(
            kind,
            query=query.reference,
            service_class=query.request.service_class.name,
            gateway=query.gateway,
            request=query.request.number,
            **fields,
        )

    def close(self) -> None:
        """Closes all connections."""
        for connections in self._connections.values():
            for connection in list(connections):
                connection.close()


def _payload(query: ClientQuery, time_left_ms: int) -> bytes:
    """A query as the users' frames have it."""
    request = query.request
    fields = {
        "service": request.service_class.name,
        "ref": query.reference,
        "allow": str(time_left_ms),
        "project": "",
        "effort": f"{request.work / MILLISECOND:.1f}",
        "space": str(request.memory_mb),
    }
    encoded = b"".join(
        bytes((len(name),)) + name.encode() + len(value).to_bytes(2, "big") + value.encode()
        for name, value in fields.items()
    )
    return bytes((len(fields),)) + encoded + _statement(query).encode()


def _statement(query: ClientQuery) -> str:
    request = query.request
    hint = f"/*+ vanerelay {query.hint} */ " if query.hint else ""
    if request.service_class.is_load:
        text = f"INSERT INTO sales_{request.table}.orders SELECT a, b, c FROM staged"
    else:
        text = f"SELECT a, b, c FROM sales_{request.table}.orders"
    return f"{hint}{text} -- w={request.work} m={request.memory_mb} n={request.service_class.threads}"


__all__ = ["CLIENTS", "ClientLoad"]
