"""Stand-in for the VM list of the platform.

``GET /vms`` returns the list, ``PUT /vms/NAME`` adds or replaces a VM and
``DELETE /vms/NAME`` removes one. Every response contains the resulting list.
"""

from __future__ import annotations

from http import HTTPStatus

from dogwoodmast._documents import converter, load_document
from dogwoodmast.standins._http import (
    Receive,
    Scope,
    Send,
    read_body,
    send_json,
)
from dogwoodmast.vm_list import Vm, VmListing


class VmListStandIn:
    """ASGI application that holds a list of VMs."""

    def __init__(self, vms: tuple[Vm, ...]) -> None:
        """Create the stand-in.

        :param vms: Initial content of the list.
        """
        self._vms = {vm.name: vm for vm in vms}

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one HTTP request.

        :param scope: ASGI scope.
        :param receive: ASGI receive callable.
        :param send: ASGI send callable.
        """
        body = await read_body(receive)
        _, _, name = scope['path'].rpartition('/')
        match scope['method']:
            case 'PUT':
                self._vms[name] = load_document(body, Vm)
            case 'DELETE':
                self._vms.pop(name, None)
            case 'GET':
                pass
            case _:
                await send_json(send, {}, HTTPStatus.METHOD_NOT_ALLOWED)
                return
        listing = VmListing(tuple(self._vms.values()))
        await send_json(send, converter.unstructure(listing))
