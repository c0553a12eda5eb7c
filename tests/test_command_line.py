"""Test the operators' command line against real daemons."""

import asyncio
import pathlib
import unittest

from lentilgauge.load import cluster, topology, users
from tests import systems


async def run_command(
    system: systems.System, *arguments: str
) -> systems.Printed:
    """Run `lentilgauge` against the first VM's controller."""
    url = system.cluster.get_url(topology.name_controller(system.vms[0]))
    child = await asyncio.create_subprocess_exec(
        cluster.find_program('lentilgauge'),
        *arguments,
        f'--controller={url}',
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    printed, complained = await child.communicate()
    return systems.Printed(
        code=child.returncode,
        out=printed.decode(),
        err=complained.decode(),
    )


class CommandLineTest(unittest.IsolatedAsyncioTestCase):
    """Ask and command, rightly and wrongly."""

    async def test_commands_and_their_exit_codes(self) -> None:
        shape = users.make_venture(vms=2, keyed=2, pooled=1, slots=8)
        async with systems.run_system(shape) as system:
            for arguments, code, said in (
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
                    ended = await run_command(system, *arguments)
                    self.assertEqual(ended.code, code, ended)
                    self.assertIn(said, f'{ended.out}{ended.err}')

    async def test_settings_are_checked_without_starting(self) -> None:
        folder = pathlib.Path('examples/settings')
        for program, name in (
            ('lentilgauge-controller', 'controller.ini'),
            ('lentilgauge-entry', 'entry.ini'),
        ):
            for given, code in ((name, 0), ('quickstart.ini', 2)):
                child = await asyncio.create_subprocess_exec(
                    cluster.find_program(program),
                    str(folder / given),
                    '--check',
                    stdout=asyncio.subprocess.PIPE,
                    stderr=asyncio.subprocess.PIPE,
                )
                printed, complained = await child.communicate()
                self.assertEqual(child.returncode, code)
                self.assertIn(given.encode(), printed + complained)
