"""Network address of a process: an IP address and a TCP port."""

from __future__ import annotations

import ipaddress
import re

import attrs

from dogwoodmast.errors import DogwoodmastError

MAX_PORT = 65_535
"""Maximum TCP port number."""

_PORT = re.compile('[0-9]{1,5}')


@attrs.define
class InvalidAddress(DogwoodmastError):
    """A string is not an IP address with a port."""

    text: str
    """Rejected string."""

    @property
    def message(self) -> str:
        """One-sentence description of the failure."""
        return (
            f'{self.text!r} is not an IP address with a port, '
            'such as 127.0.0.1:8080'
        )


@attrs.frozen(order=True)
class Address:
    """IP address and TCP port; addresses sort by host text, then by port."""

    host: str
    """IPv4 or IPv6 address as text, without brackets."""
    port: int
    """TCP port number, from 1 to 65535."""

    def __str__(self) -> str:
        """Format the address.

        :return: ``host:port``, with brackets around an IPv6 address.
        """
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse an address.

        :param text: ``host:port``, where the host is an IP address and may
            have brackets.
        :return: Parsed address.
        :raises InvalidAddress: If the host is not an IP address, or the port
            is not a number from 1 to 65535.
        """
        host, _, port = text.rpartition(':')
        host = host.removeprefix('[').removesuffix(']')
        # An IPv6 address may end with a scope, which is any text.
        if not (
            text.isascii() and text.isprintable() and _PORT.fullmatch(port)
        ):
            raise InvalidAddress(text)
        try:
            ipaddress.ip_address(host)
        except ValueError:
            raise InvalidAddress(text) from None
        number = int(port)
        if not 0 < number <= MAX_PORT:
            raise InvalidAddress(text)
        return cls(host, number)
