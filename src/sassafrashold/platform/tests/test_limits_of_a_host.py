"""Guards against limits that together exceed a host, or refuse fair clients."""

import pytest

from sassafrashold.platform import boot
from sassafrashold.platform import process
from sassafrashold.platform.tests import boot_text

_MB = 2**20
# The process with its copy of the store, without clients and leaf answers.
_PROCESS_MB = 60
_FILE_FDS = 200
# What the platform's pages allow a client, and the largest answer of a leaf.
_BODY_BYTES = 262_144
_ANSWER_BYTES = 16 * _MB


@pytest.mark.parametrize(
    ("memory_mb", "max_fds"), [(200, 4100), (300, 4100), (552, 8192)]
)
def test_limits_fit_the_host_and_admit_fair_clients(memory_mb, max_fds):
    limits = f"limits.memory_mb={memory_mb}\nlimits.max_fds={max_fds}\n"
    values = process.front_settings(boot.parse(boot_text.BOOT + limits), 0)
    assert (
        values.max_client_bytes + values.max_answer_bytes
        <= (memory_mb - _PROCESS_MB) * _MB
    )
    # Bodies count three times among what clients hold.
    assert 3 * values.max_request_bytes <= values.max_client_bytes
    assert values.max_request_bytes >= 40 * _BODY_BYTES
    assert values.max_client_bytes >= 2 * _ANSWER_BYTES
    sockets = max_fds - _FILE_FDS
    assert (
        values.max_caller_connections + values.max_peer_connections
        <= 0.75 * sockets
    )
    # Twice as many as hosts of the largest deployment.
    assert values.max_peer_connections >= 2 * 195


def test_host_without_stated_limits_gets_defaults():
    values = process.front_settings(boot.parse(boot_text.BOOT), 0)
    assert values.max_client_bytes >= 2 * _ANSWER_BYTES
    assert values.max_caller_connections > 1000
