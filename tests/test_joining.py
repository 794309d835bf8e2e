from marjoramgrade.decisions.joining import may_change_config, may_take_over_shard
from marjoramgrade.decisions.ownership import ShardRow


def test_the_joining_rule() -> None:
    """Guards against an instance that changes state before other members know it."""
    assert may_change_config("c", {"c"}, ())
    assert not may_change_config("c", {"a", "c"}, ())
    assert may_change_config("c", {"a", "c"}, {"a"})
    row = ShardRow("z.0", owner="a", epoch=1, guardians=("b",))
    assert may_take_over_shard("b", row, {"a", "b"}, ())
    assert not may_take_over_shard("c", row, {"a", "b", "m"}, {"m"})
    assert may_take_over_shard("c", row, {"a", "b", "m"}, {"b"})
    assert may_take_over_shard("c", row, {"m"}, {"m"})
    assert may_take_over_shard("c", row.released(), {"a", "b"}, ())
