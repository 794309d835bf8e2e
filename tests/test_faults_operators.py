"""Concurrent changes by operators, and keys that are withdrawn."""

import asyncio
import json
import pathlib
import time

from standins.cell import Cell
from standins.scenario import TEAM

# Longest time until a change of the configuration is in force on every instance.
CONFIG_BOUND_S = 8.0
ROUNDS = 10


def test_operators_with_conflicting_changes(tmp_path: pathlib.Path) -> None:
    """Guards against a change that is accepted and then overwritten or reverted."""

    async def run() -> None:
        async with Cell(tmp_path, workers_per_zone=1) as cell:
            await cell.seed({TEAM: {"share": 1}})
            urls = [plan.url for plan in cell.running_entries()]
            for url in urls:
                # An instance that is not admitted yet responds with 503; `put` waits.
                await cell.put(f"{url}/v1/teams/{TEAM}", {"share": 1})
            await cell.wait_for_config()
            for round_number in range(ROUNDS):
                answer = await cell.fetch(f"{urls[0]}/v1/teams/{TEAM}")
                if_match = {"If-Match": answer.headers["ETag"]}
                shares = [2 + 2 * round_number, 3 + 2 * round_number]
                answers = await asyncio.gather(
                    *(
                        cell.fetch(
                            f"{url}/v1/teams/{TEAM}",
                            "PUT",
                            body={"share": share},
                            headers=if_match,
                        )
                        for url, share in zip(urls, shares, strict=True)
                    )
                )
                codes = [answer.code for answer in answers]
                assert sorted(codes) == [200, 409]
                refused = json.loads(answers[codes.index(409)].body)["error"]
                assert (refused["code"], refused["ran"]) == ("conflict", "no")
                accepted = shares[codes.index(200)]

                async def is_in_force(accepted: int = accepted) -> bool:
                    teams = [
                        await cell.fetch_json(f"{url}/v1/teams/{TEAM}") for url in urls
                    ]
                    return all(team["share"] == accepted for team in teams)

                await cell.wait_until(is_in_force, timeout_s=CONFIG_BOUND_S)

    asyncio.run(run())


def test_a_withdrawn_key_stops_working(tmp_path: pathlib.Path) -> None:
    """Guards against an instance that still accepts a withdrawn key."""

    async def run() -> None:
        async with Cell(tmp_path, workers_per_zone=1) as cell:
            secret = (await cell.seed({TEAM: {"share": 1}}))[TEAM]
            await cell.wait_for_shards()
            first, second = cell.running_entries()

            async def is_refused(number: int) -> bool:
                answer = await cell.fetch(
                    f"{second.url}/v1/run/{cell.service}",
                    "POST",
                    body={},
                    secret=secret,
                    headers={"Request-Id": f"check-{number}"},
                )
                return bool(answer.code == 401)

            assert not await is_refused(0)
            # The second instance cannot read the change: it must stop accepting the key
            # without it.
            await cell.control_platform(cut=[second.instance_id])
            answer = await cell.fetch(f"{first.url}/v1/keys/{TEAM}-key", "DELETE")
            assert answer.code == 200
            withdrawn = time.monotonic()
            number = 0
            while time.monotonic() < withdrawn + CONFIG_BOUND_S:
                number += 1
                await is_refused(number)
                await asyncio.sleep(0.1)
            backends = await cell.counters("backend")
            before = sum(len(server["runs"]) for server in backends.values())
            for extra in range(10):
                await is_refused(number + 1 + extra)
            backends = await cell.counters("backend")
            assert sum(len(server["runs"]) for server in backends.values()) == before

    asyncio.run(run())
