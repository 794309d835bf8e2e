"""Hypothesis strategies for resources and malformed documents."""

from hypothesis import strategies as st

from marjoramgrade import model
from marjoramgrade.resources import Resources

names = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,20}", fullmatch=True)
amounts = st.integers(0, 2**40)
resources = st.builds(Resources, amounts, amounts, amounts, amounts)
texts = st.text(st.characters(exclude_categories=["Cs"]), max_size=50)
specs = st.builds(
    model.JobSpec,
    team=names,
    kind=st.sampled_from(model.JobKind),
    tasks=st.integers(1, 50),
    resources=resources,
    run_ms=st.integers(0, 10**9),
    payload=texts,
    priority=st.sampled_from(model.Priority),
    max_attempts=st.integers(1, 100),
    spread_racks=st.booleans(),
)


@st.composite
def jobs(draw: st.DrawFn) -> model.Job:
    spec = draw(specs)
    outcomes = draw(st.text("cdf.", min_size=spec.tasks, max_size=spec.tasks))
    return model.Job(
        draw(names), spec, draw(names), outcomes, draw(texts), draw(st.booleans())
    )


teams = st.builds(
    model.Team, names, st.integers(1, 1000), resources, st.integers(1, 10**6)
)
keys = st.builds(model.Key.from_secret, names, names, texts)
zones = st.builds(model.Zone, names, st.sampled_from(model.ZoneState))
services = st.builds(model.Service, names, names | st.just(""))
instances = st.builds(
    model.Instance,
    names,
    st.sampled_from(model.InstanceKind),
    names,
    st.ip_addresses().map(str),
    st.integers(1, 65535),
    names | st.just(""),
    st.booleans(),
    resources,
    names | st.just(""),
)


def by_name(entries: st.SearchStrategy) -> st.SearchStrategy:  # type: ignore[type-arg]
    return st.lists(entries, max_size=4).map(
        lambda drawn: {entry.name: entry for entry in drawn}
    )


configs = st.builds(
    model.Config,
    st.integers(0, 2**40),
    by_name(teams),
    by_name(keys),
    by_name(zones),
    by_name(services),
    st.lists(names, max_size=3).map(tuple),
    st.dictionaries(names.map("teams.{}".format), st.integers(0, 2**40), max_size=4),
    st.integers(-1, 2**40),
)
arbitrary_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.just("\ud800"),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4)
    ),
    max_leaves=12,
)
