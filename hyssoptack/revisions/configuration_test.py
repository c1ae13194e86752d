"""Tests of configuration offers: only later, valid revisions are accepted."""

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
    return configuration.encode_manifest(manifest), {digest: text}


def _offer_result(config, *offer):
    return type(config.merge_offer(*offer)).__name__


def test_only_later_revisions_come_into_force():
    config = configuration.ActiveConfiguration()
    assert _offer_result(config, *_offer(5)) == "NewConfiguration"
    assert _offer_result(config, *_offer(4)) == "Ignored"
    assert _offer_result(config, *_offer(5)) == "Ignored"
    assert config.revision() == 5
    assert _offer_result(config, *_offer(9)) == "NewConfiguration"


def test_revision_with_missing_parts_is_not_in_force():
    config = configuration.ActiveConfiguration()
    text, parts = _offer(1)
    result = config.merge_offer(text, {})
    assert result == configuration.MissingParts(digests=tuple(parts))
    assert config.revision() == 0
    assert _offer_result(config, text, parts) == "NewConfiguration"


def test_part_that_does_not_match_its_digest_is_ignored():
    config = configuration.ActiveConfiguration()
    text, parts = _offer(1)
    forged = dict.fromkeys(parts, _PROFILE % 999)
    assert _offer_result(config, text, forged) == "MissingParts"


def test_revision_with_errors_does_not_replace_the_one_in_force():
    config = configuration.ActiveConfiguration()
    config.merge_offer(*_offer(1))
    assert _offer_result(config, *_offer(2, "{profiles: 3}")) == "Ignored"
    assert config.revision() == 1
    assert _offer_result(config, *_offer(3)) == "NewConfiguration"


def test_unreadable_head_is_ignored():
    config = configuration.ActiveConfiguration()
    assert _offer_result(config, "not a manifest", {}) == "Ignored"


def test_peer_is_offered_only_the_parts_it_lacks():
    config = configuration.ActiveConfiguration()
    text, parts = _offer(1)
    config.merge_offer(text, parts)
    assert config.parts_for_peer(()) == parts
    assert config.parts_for_peer(tuple(parts)) == {}
