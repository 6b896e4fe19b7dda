"""Settings like those of machala-cartones, for one gateway, and its usual requests."""

from __future__ import annotations

import random

from standins import Client, Request

SETTINGS = {
    "classes": [
        {
            "name": "consulta-stock", "aimUs": 750_000, "aimStretch": 2.0, "deadlineUs": 4_000_000,
            "importance": 1.0, "lateWorth": 0.3, "semantics": "pure",
        },
        {
            "name": "reporte-semanal", "aimUs": 3_000_000, "aimStretch": 2.5, "deadlineUs": 20_000_000,
            "importance": 10.0, "lateWorth": 0.5, "semantics": "pure",
        },
        {
            "name": "carga-pedidos", "aimUs": 3_000_000, "aimStretch": 2.5, "deadlineUs": 25_000_000,
            "importance": 6.0, "lateWorth": 0.3, "semantics": "side_effect",
        },
    ],
    "orgs": [
        {"name": "bananera-el-cisne", "share": 0.86, "quotaPerS": 80},
        {"name": "agricola-jubones", "share": 0.14, "quotaPerS": 13},
    ],
    "kinds": ["doce-nucleos"], "failureDomains": ["galpon-uno", "galpon-dos", "oficinas"], "az": 0,
    "groupSize": 1, "position": 0, "tickUs": 5_000,
    "familyInfo": {
        "memoryByKindMb": [32_768.0], "cpuOfKind": [12], "parallelism": [1, 4, 2], "takesGrants": True,
        "grantCap": 0.4, "bills": True, "progressUs": 0, "memoryShort": "queue",
        "writesTables": [False, False, True], "waitsForLoads": [True, False, False],
        "reportX0": "share of memory granted", "reportX1": "share of disks busy",
    },
    "limits": {
        "maxAttempts": 3, "maxOpen": 20_000, "multiplex": 32, "dialTimeoutUs": 250_000,
        "connIdleUs": 30_000_000, "cancel": True, "secondCopies": True, "retryAfter": True,
        "maxRetryAfterUs": 2_000_000, "peers": True, "probes": False,
    },
    "report": {"how": "piggyback", "columns": ["pending", "x0", "x1"]},
    "safety": {
        "coldFrom": 0.35, "coldUs": 14_000_000, "fallMultiple": 4, "overloadForUs": 2_000_000,
        "drainGraceUs": 2_000_000, "ratioSpanUs": 10_000_000, "minExtra": 2, "extraRatio": 0.2,
    },
}  # fmt: skip
WORK_S = {"consulta-stock": 0.17, "reporte-semanal": 1.0, "carga-pedidos": 0.7}
ALLOW_MS = {"consulta-stock": 4_000, "reporte-semanal": 20_000, "carga-pedidos": 25_000}
SHARES = {"consulta-stock": 78, "reporte-semanal": 16, "carga-pedidos": 6}


def report(in_hand: int) -> str:
    """A load report of an engine that is a little busy."""
    return f"queue:0;x0:{min(1.0, in_hand * 0.02):.2f};x1:{min(1.0, in_hand * 0.05):.2f}"


def usual_request(client: Client, chance: random.Random) -> Request:
    """Sends one request of the usual mix."""
    service = chance.choices(list(SHARES), list(SHARES.values()))[0]
    group = chance.randrange(1, 30)
    statement = f"SELECT * FROM sales_{group}.orders"
    if service == "carga-pedidos":
        statement = f"INSERT INTO sales_{group}.orders VALUES ({chance.random()})"
    tenant = "agricola-jubones" if chance.random() < 0.14 else "bananera-el-cisne"
    effort, space = "170", "96"
    return client.send(service, ALLOW_MS[service], statement, tenant, effort, space)
