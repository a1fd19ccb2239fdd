"""Exit codes of the command-line interface."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command and its meaning, which ``--help`` prints."""

    OK = (0, 'it did what was asked')
    FAILED = (1, 'it failed; the reason is on standard error')
    USAGE = (2, 'the arguments were wrong')
    INVALID = (3, 'an input file or a name in the arguments is not valid')
    CONFLICT = (4, "another operator's change came first; nothing was done")
    UNREACHABLE = (5, 'a process or the platform could not be reached')
    UNCONFIRMED = (6, 'the change is kept, but a zone has not confirmed it')
    UNCERTAIN = (7, 'the change was sent, but may or may not take effect')

    def __new__(cls, code: int, meaning: str) -> ExitCode:
        """Create a member whose integer value is the exit code alone.

        :param code: Exit status of the process.
        :param meaning: Explanation of the code for operators.
        :return: The member.
        """
        member = int.__new__(cls, code)
        member._value_ = code
        return member

    def __init__(self, code: int, meaning: str) -> None:
        """Store the meaning of the exit code.

        :param code: Exit status of the process.
        :param meaning: Explanation of the code for operators.
        """
        self.meaning = meaning
