"""The platform as control uses it, through the local entry process."""

import datetime
from typing import Protocol

from sassafrashold import store as store_lib

# Shorter than the gateway's own limits: a renewal that takes as long as the
# lease lasts is of no use, and the next one waits for its end.
LEASE_CALL_TIMEOUT = datetime.timedelta(seconds=1)


class Store(store_lib.ObjectStore, store_lib.HostSource, Protocol):
    """Objects and the host list."""
