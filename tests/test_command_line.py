"""Tests of the operators' command line against real daemons."""

import asyncio
import pathlib
import unittest

from lentilgauge.load import cluster, topology, user_topologies
from tests import systems


async def run_command(
    system: systems.System, *arguments: str
) -> systems.CommandOutput:
    """Run `lentilgauge` against the controller of the first VM."""
    url = system.cluster.get_url(topology.name_controller(system.vms[0]))
    process = await asyncio.create_subprocess_exec(
        cluster.find_program('lentilgauge'),
        *arguments,
        f'--controller={url}',
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    stdout, stderr = await process.communicate()
    return systems.CommandOutput(
        exit_code=process.returncode,
        stdout=stdout.decode(),
        stderr=stderr.decode(),
    )


class CommandLineTest(unittest.IsolatedAsyncioTestCase):
    """Exit codes and output of valid and invalid commands."""

    async def test_commands_and_their_exit_codes(self) -> None:
        venture = user_topologies.make_venture_topology(
            vms=2, keyed=2, pooled=1, slots=8
        )
        async with systems.run_system(venture) as system:
            for arguments, exit_code, expected_text in (
                (('status',), 0, 'cases-1'),
                (('owner', 'cases', '4711'), 0, '"owner": "cases-'),
                (('versions',), 0, 'version 1 is in force everywhere'),
                (('domain', 'domain-b', 'out'), 0, 'accepted as version 2'),
                (
                    ('domain', 'domain-z', 'out'),
                    2,
                    "no failure domain 'domain-z'",
                ),
                (('domain', 'domain-b', 'away'), 2, "expected 'out' or 'in'"),
                (('upstream', 'cases-1', 'drain'), 0, 'accepted as version 3'),
                (('owner', 'settlements', '1'), 2, 'no keyed service'),
                (('apply', '/nowhere.ini'), 2, '/nowhere.ini'),
                (
                    ('apply', str(system.cluster.folder / 'configuration.ini')),
                    1,
                    'the configuration is at version 3',
                ),
            ):
                with self.subTest(arguments=arguments):
                    output = await run_command(system, *arguments)
                    self.assertEqual(output.exit_code, exit_code, output)
                    self.assertIn(
                        expected_text, f'{output.stdout}{output.stderr}'
                    )

    async def test_settings_are_checked_without_starting(self) -> None:
        folder = pathlib.Path('examples/settings')
        for program, valid_name in (
            ('lentilgauge-controller', 'controller.ini'),
            ('lentilgauge-entry', 'entry.ini'),
        ):
            for file_name, exit_code in (
                (valid_name, 0),
                ('quickstart.ini', 2),
            ):
                process = await asyncio.create_subprocess_exec(
                    cluster.find_program(program),
                    str(folder / file_name),
                    '--check',
                    stdout=asyncio.subprocess.PIPE,
                    stderr=asyncio.subprocess.PIPE,
                )
                stdout, stderr = await process.communicate()
                self.assertEqual(process.returncode, exit_code)
                self.assertIn(file_name.encode(), stdout + stderr)
