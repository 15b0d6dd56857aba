"""radishwind: a load balancer for servers whose load shifts in milliseconds.

Each subpackage is one duty of the system with its own state, messages and
tests; `docs/index.md` lists them in reading order. The decisions are pure
(typed input, a time, a typed result); the daemons around them are thin.
"""

__version__ = "0.1.0"
