"""Write the VM list and the settings files of a local fleet.

The zones and targets are those of the questionnaire in the same directory;
each zone has one entry VM.
"""

from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING

from dogwoodmast._documents import dump_document
from dogwoodmast.address import Address
from dogwoodmast.questionnaire import load_questionnaire
from dogwoodmast.vm_list import Vm, VmListing, VmRole

if TYPE_CHECKING:
    from dogwoodmast.configuration import Configuration

QUESTIONNAIRE = pathlib.Path(__file__).with_name('questionnaire.toml')
HOST = '127.0.0.1'
HTTP_PORT = 18_000
"""Port of the first entry VM for callers; the next ones follow it."""
LINK_PORT = 18_100
"""Port of the first entry VM for links; the next ones follow it."""

SETTINGS_TEMPLATE = """\
[vm]
name = "{name}"
zone = "{zone}"

[listen]
http = "{http}"
links = "{links}"

[platform]
endpoint = "http://127.0.0.1:18300"

[vm_list]
endpoint = "http://127.0.0.1:18301/vms"
"""


def make_listing(configuration: Configuration) -> VmListing:
    """Create the VM list of the fleet.

    :param configuration: Configuration of the fleet.
    :return: Entry VMs and back-end servers.
    """
    entry_vms = tuple(
        Vm(
            f'{zone.name}-1',
            zone.name,
            VmRole.ENTRY,
            Address(HOST, LINK_PORT + index),
        )
        for index, zone in enumerate(configuration.zones)
    )
    backends = tuple(
        Vm(target.name, target.zone, VmRole.BACKEND, target.address)
        for service in configuration.services
        for target in service.targets
    )
    return VmListing(entry_vms + backends)


def main(directory: pathlib.Path) -> None:
    """Write all files of the fleet.

    :param directory: Directory to write to.
    """
    directory.mkdir(parents=True, exist_ok=True)
    configuration = load_questionnaire(QUESTIONNAIRE).configuration
    listing = dump_document(make_listing(configuration))
    (directory / 'vms.json').write_bytes(listing)
    for index, zone in enumerate(configuration.zones):
        text = SETTINGS_TEMPLATE.format(
            name=f'{zone.name}-1',
            zone=zone.name,
            http=Address(HOST, HTTP_PORT + index),
            links=Address(HOST, LINK_PORT + index),
        )
        (directory / f'{zone.name}-1.toml').write_text(text)


if __name__ == '__main__':
    main(pathlib.Path(sys.argv[1]))
