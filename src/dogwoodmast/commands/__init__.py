"""Commands of the command-line interface, one module each.

Each command module has a function ``register(subparsers)``.  It adds the
command's parser and sets the parser's default ``run`` to a function that
takes the parsed arguments and returns an exit code.
"""
