import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sassafrashold.control.tests import world

_HOSTS = st.sampled_from("abcd")


class Zone(stateful.RuleBasedStateMachine):
    """Guards against two owners that both believe they are current.

    `world.World.check` is the oracle; it runs after every step of 100 ms.
    """

    def __init__(self):
        super().__init__()
        self.world = world.World("abcd")
        self.world.run(60, random.Random(0))

    @stateful.rule(steps=st.integers(1, 120), seed=st.integers(0, 2**16))
    def run_for(self, steps, seed):
        self.world.run(steps, random.Random(seed))

    @stateful.rule(
        store=st.sampled_from(["ok", "ok", "lossy", "slow", "down"]),
        stale=st.booleans(),
    )
    def change_store(self, store, stale):
        self.world.store = store
        self.world.read_stale = stale

    @stateful.rule(name=_HOSTS, steps=st.integers(1, 100))
    def pause(self, name, steps):
        host = self.world.hosts[name]
        host.paused_until = self.world.now + steps * world.STEP

    @stateful.rule(name=_HOSTS, alone=st.booleans())
    def partition(self, name, alone):
        self.world.hosts[name].alone = alone

    @stateful.rule(name=_HOSTS)
    def restart_control(self, name):
        self.world.hosts[name].start_control()

    @stateful.rule(name=_HOSTS)
    def restart_owner(self, name):
        self.world.hosts[name].start_owner()

    @stateful.rule(name=_HOSTS)
    def leave(self, name):
        self.world.hosts[name].leaving = True

    @stateful.rule(name=_HOSTS)
    def stop_or_replace(self, name):
        host = self.world.hosts[name]
        if host.running:
            host.running = False
            host.gone = self.world.now
        else:
            host.running = True
            host.start_owner()
            host.start_control()


Zone.TestCase.settings = hypothesis.settings(
    max_examples=30,
    stateful_step_count=25,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
    database=None,
    print_blob=True,
)
test_evidence_and_releases_are_never_premature = Zone.TestCase
