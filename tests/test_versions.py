import attrs
import hypothesis.strategies as st
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from marjoramgrade.decisions import versions
from marjoramgrade.decisions.versions import (
    MAX_RECORDED_DELETIONS,
    Change,
    ConfigStore,
    apply_change,
    is_applied,
    iter_problems,
    resource_version,
)
from marjoramgrade.errors import (
    CheckFailedError,
    ConflictError,
    InvalidInputError,
    MarjoramgradeError,
    NotFoundError,
    SettingsError,
)
from marjoramgrade.model import Config, Key, Service, Team, Zone
from marjoramgrade.resources import Resources
from marjoramgrade.table import MemoryTable, Transaction

MACHINE = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=200,
    stateful_step_count=40,
    phases=[Phase.generate],
)


def put_team(
    config: Config, name: str, base_version: int | None = None, share: int = 1
) -> Config:
    """Apply a change to a team and return the document with the next version."""
    base = config.version if base_version is None else base_version
    change = Change("teams", name, Team(name, share), base, f"w{config.version}")
    return attrs.evolve(apply_change(config, change), version=config.version + 1)


def test_only_newer_documents_are_accepted() -> None:
    """Guards against an accepted configuration that is reverted (invariant 11)."""
    store = ConfigStore()
    new = Config(version=7)
    assert store.accept_if_newer(new) and store.is_loaded
    assert not store.accept_if_newer(Config(version=6, zones_by_name={"z": Zone("z")}))
    assert not store.accept_if_newer(Config(version=7, zones_by_name={"z": Zone("z")}))
    assert store.current is new


def test_an_invalid_document_changes_nothing_and_names_each_fault() -> None:
    """Guards against partially applied documents and problems without a path."""
    store = ConfigStore(Config(version=1))
    teams = {"t": Team("t", 0, Resources(memory_mib=-1)), "T!": Team("u")}
    keys = {"k": Key("k", "x", "ab"), "m": Key("m", "t", "ab")}
    services = {"s": Service("s", "x")}
    with pytest.raises(SettingsError) as caught:
        store.accept_if_newer(Config(2, teams, keys, {}, services))
    assert store.current.version == 1
    assert {problem.path for problem in caught.value.problems} == {
        "teams.t.share",
        "teams.t.limit.memory_mib",
        "teams.T!",
        "teams.T!.name",
        "keys.k.team",
        "keys.k.secret_sha256",
        "keys.m.secret_sha256",
        "services.s.team",
    }


def test_changes_of_other_resources_are_rebased() -> None:
    """Guards against conflicts between changes to different resources."""
    first = put_team(Config(version=1), "a")
    both = put_team(put_team(first, "b"), "a", base_version=2)
    assert set(both.teams_by_name) == {"a", "b"}


def test_a_racing_change_of_the_same_resource_is_a_conflict() -> None:
    """Guards against an accepted change that a racing change overwrites."""
    config = put_team(Config(version=1), "a")
    config = put_team(config, "a", share=5)
    with pytest.raises(ConflictError) as caught:
        put_team(config, "a", base_version=2)
    assert (caught.value.expected_version, caught.value.current_version) == (2, 3)
    with pytest.raises(ConflictError):
        put_team(config, "a", base_version=0)
    assert put_team(config, "a", base_version=3).version == 4
    later = put_team(put_team(config, "b"), "c")
    assert resource_version(later, "teams", "a") == 3
    assert resource_version(later, "teams", "x") == 0
    assert put_team(later, "a", base_version=3).version == 6


def test_a_stale_change_does_not_revive_a_deleted_resource() -> None:
    """Guards against an old change that recreates a deleted team or key."""
    config = put_team(Config(version=1), "a")
    delete = Change("teams", "a", None, 2, "d")
    config = attrs.evolve(apply_change(config, delete), version=3)
    with pytest.raises(ConflictError):
        put_team(config, "a", base_version=2)
    with pytest.raises(NotFoundError):
        apply_change(config, attrs.evolve(delete, base_version=3))
    assert "a" in put_team(config, "a", base_version=0).teams_by_name
    for n in range(MAX_RECORDED_DELETIONS + 1):
        config = put_team(config, f"t{n}")
        delete = Change("teams", f"t{n}", None, config.version, f"d{n}")
        config = attrs.evolve(apply_change(config, delete), version=config.version + 1)
    assert "teams.a" not in config.base_version_by_path
    with pytest.raises(ConflictError):
        put_team(config, "a", base_version=2)


def test_a_rebased_change_is_validated_against_the_racing_one() -> None:
    """Guards against a key whose team was deleted by a racing change."""
    config = put_team(Config(version=1), "a")
    key = Change("keys", "k", Key.from_secret("k", "a", "s"), 2, "k")
    delete = Change("teams", "a", None, 2, "d")
    deleted = attrs.evolve(apply_change(config, delete), version=3)
    with pytest.raises(SettingsError):
        apply_change(deleted, key)
    with pytest.raises(SettingsError):
        apply_change(attrs.evolve(apply_change(config, key), version=3), delete)


@pytest.mark.parametrize(
    "change",
    [
        Change("racks", "a", Team("a"), 1, "w"),
        Change("teams", "a", Zone("a"), 1, "w"),
        Change("teams", "a", Team("b"), 1, "w"),
    ],
)
def test_a_change_of_the_wrong_form_is_refused(change: Change) -> None:
    """Guards against a resource that is stored under the wrong kind or name."""
    with pytest.raises(InvalidInputError):
        apply_change(Config(version=1), change)


@attrs.define
class Operator:
    """An operator's entry instance with its copy of the document."""

    store: ConfigStore = attrs.field(factory=ConfigStore)
    change: Change | None = None
    unsent: Transaction | None = None


class ConfigMachine(RuleBasedStateMachine):
    """Three instances change one document.

    Responses of the table may be lost, and copies of the document may be outdated.
    """

    apply = staticmethod(apply_change)

    def __init__(self) -> None:
        super().__init__()
        self.table = MemoryTable()
        self.table.apply(Transaction({}, {"config": {"document": Config()}}))
        self.operators = [Operator() for _ in range(3)]
        self.copies = [self.read()]
        self.accepted: list[tuple[int, Change]] = []
        self.count = 0

    def read(self) -> Config:
        row = self.table.scan("config").rows[0]
        return attrs.evolve(row.value["document"], version=row.version)

    @rule(n=st.integers(0, 2), pick=st.integers(0, 9))
    def receive_copy(self, n: int, pick: int) -> None:
        store = self.operators[n].store
        before = store.current.version
        store.accept_if_newer(self.copies[pick % len(self.copies)])
        assert store.current.version >= before

    @rule(n=st.integers(0, 2), name=st.sampled_from("ab"), is_delete=st.booleans())
    def begin_change(self, n: int, name: str, is_delete: bool) -> None:
        operator = self.operators[n]
        if operator.change is None and operator.store.is_loaded:
            self.count += 1
            team = None if is_delete else Team(name, share=self.count)
            base = operator.store.current.version
            operator.change = Change("teams", name, team, base, str(self.count))

    @rule(n=st.integers(0, 2))
    def prepare(self, n: int) -> None:
        operator = self.operators[n]
        if operator.change is None:
            return
        config = self.read()
        if is_applied(config, operator.change):
            operator.change = None
            return
        try:
            changed = self.apply(config, operator.change)
        except MarjoramgradeError:
            operator.change = None
            return
        writes = {"config": {"document": changed}}
        checks = {"config": config.version}
        operator.unsent = Transaction(checks, writes, operator.change.write_id)

    @rule(n=st.integers(0, 2), is_answered=st.booleans())
    def send(self, n: int, is_answered: bool) -> None:
        operator = self.operators[n]
        if operator.unsent is None or operator.change is None:
            return
        try:
            version = self.table.apply(operator.unsent)
        except CheckFailedError:
            return
        self.accepted.append((version, operator.change))
        self.copies = [*self.copies, self.read()][-10:]
        if is_answered:
            operator.change = operator.unsent = None

    @invariant()
    def accepted_changes_are_neither_lost_nor_repeated(self) -> None:
        write_ids = [change.write_id for _, change in self.accepted]
        assert len(write_ids) == len(set(write_ids))
        team_by_name: dict[str, Team] = {}
        version_by_name: dict[str, int] = {}
        for version, change in self.accepted:
            assert version_by_name.get(change.name, 0) <= change.base_version
            version_by_name[change.name] = version
            team_by_name.pop(change.name, None)
            if isinstance(change.resource, Team):
                team_by_name[change.name] = change.resource
        assert dict(self.read().teams_by_name) == team_by_name


def test_racing_operators_lose_no_accepted_change() -> None:
    """Guards against lost, repeated and reverted changes (invariant 11)."""
    run_state_machine_as_test(ConfigMachine, settings=MACHINE)


def race_on_one_team(machine: ConfigMachine) -> None:
    for n in (0, 1):
        machine.receive_copy(n, pick=0)
        machine.begin_change(n, "a", is_delete=False)
    for n in (0, 1):
        machine.prepare(n)
        machine.send(n, is_answered=True)
    machine.accepted_changes_are_neither_lost_nor_repeated()
    assert len(machine.accepted) == 1


def test_the_machine_finds_a_change_that_overwrites_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a state machine that does not detect a lost change."""
    race_on_one_team(ConfigMachine())
    monkeypatch.setattr(versions, "_check_base", lambda *_: None)
    with pytest.raises(AssertionError):
        race_on_one_team(ConfigMachine())


def test_valid_documents_have_no_problems() -> None:
    """Guards against checks that reject a valid document."""
    config = put_team(Config(version=1), "a")
    keys = {"k": Key.from_secret("k", "a", "s")}
    services = {"open": Service("open"), "own": Service("own", "a")}
    config = attrs.evolve(config, keys_by_name=keys, services_by_name=services)
    assert not list(iter_problems(config))
