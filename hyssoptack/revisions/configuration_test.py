"""Tests of taking configuration offers: only upwards, only whole."""

from hyssoptack.core import catalog
from hyssoptack.revisions import configuration
from hyssoptack.settings import catalog as catalog_settings

_PROFILE = "{profiles: {p: {deadline_ms: %d, coverage_floor_ratio: 0.5, "
_PROFILE += "extra_load_ceiling_ratio: 0.1}}}"


def _offer(revision, part=None):
    text = part or _PROFILE % (100 + revision)
    digest = catalog_settings.digest_of(text)
    manifest = catalog.Manifest(
        revision=revision,
        change_id=f"c{revision}",
        author="a",
        applied_at_text="",
        parts={"profiles": digest},
    )
    return configuration.manifest_text(manifest), {digest: text}


def _taken(config, *offer):
    return type(config.merge_offer(*offer)).__name__


def test_later_revisions_come_into_force_and_older_ones_do_not():
    config = configuration.ActiveConfiguration()
    assert _taken(config, *_offer(5)) == "InForce"
    assert _taken(config, *_offer(4)) == "Ignored"
    assert _taken(config, *_offer(5)) == "Ignored"
    assert config.revision() == 5
    assert _taken(config, *_offer(9)) == "InForce"


def test_a_head_without_its_parts_is_not_in_force():
    config = configuration.ActiveConfiguration()
    text, parts = _offer(1)
    lacking = config.merge_offer(text, {})
    assert lacking == configuration.Lacking(digests=tuple(parts))
    assert config.revision() == 0
    assert _taken(config, text, parts) == "InForce"


def test_a_part_that_does_not_match_its_digest_is_left_out():
    config = configuration.ActiveConfiguration()
    text, parts = _offer(1)
    forged = dict.fromkeys(parts, _PROFILE % 999)
    assert _taken(config, text, forged) == "Lacking"


def test_a_revision_with_errors_leaves_the_one_in_force():
    config = configuration.ActiveConfiguration()
    config.merge_offer(*_offer(1))
    assert _taken(config, *_offer(2, "{profiles: 3}")) == "Ignored"
    assert config.revision() == 1
    assert _taken(config, *_offer(3)) == "InForce"


def test_a_head_that_can_not_be_read_is_ignored():
    config = configuration.ActiveConfiguration()
    assert _taken(config, "not a manifest", {}) == "Ignored"


def test_a_peer_is_offered_only_what_it_lacks():
    config = configuration.ActiveConfiguration()
    text, parts = _offer(1)
    config.merge_offer(text, parts)
    assert config.parts_for_peer(()) == parts
    assert config.parts_for_peer(tuple(parts)) == {}
