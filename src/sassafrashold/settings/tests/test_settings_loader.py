import dataclasses
import datetime

import pytest

from sassafrashold import errors
from sassafrashold import settings


@dataclasses.dataclass(frozen=True)
class _Sample:
    listen: settings.Address
    zone: str
    limit: int = settings.option(default=5, minimum=1, maximum=9)
    wait: datetime.timedelta = datetime.timedelta(seconds=1)
    peers: tuple[settings.Address, ...] = ()
    fast: bool = False


def test_load_converts_values_to_field_types(tmp_path):
    path = tmp_path / "sample.ini"
    path.write_text(
        "[sample]\nlisten = 127.0.0.1:80\nzone = luzon-a\nwait = 250\n"
        "peers = 10.0.0.1:1, 10.0.0.2:2\nfast = yes\n"
    )
    assert settings.load(path, "sample", _Sample) == _Sample(
        settings.Address("127.0.0.1", 80),
        "luzon-a",
        5,
        datetime.timedelta(milliseconds=250),
        (settings.Address("10.0.0.1", 1), settings.Address("10.0.0.2", 2)),
        True,
    )


@pytest.mark.parametrize(
    ("text", "part"),
    [
        ("", "section [sample] is missing"),
        ("[sample]\nzone = a\n", "listen: missing; expected ip:port"),
        ("[sample]\nlisten = x\nzone = a\n", "listen: got 'x'; expected ip:"),
        (
            "[sample]\nlisten=1.1.1.1:1\nzone=a\nlimit=10\n",
            "limit: got '10'; expected a whole number from 1 to 9",
        ),
        ("[sample]\nlisten=1.1.1.1:1\nzone=\n", "zone: got ''; expected a t"),
        ("[sample]\nlisten=1.1.1.1:1\nzone=a\nx=1\n", "x: unknown key"),
        ("[sample\n", "not an INI file"),
        ("[sample]\nzone=a\nzone=b\n", "not an INI file"),
    ],
)
def test_error_contains_path_key_and_expected_value(tmp_path, text, part):
    path = tmp_path / "sample.ini"
    path.write_text(text)
    with pytest.raises(errors.SettingsError) as caught:
        settings.load(path, "sample", _Sample)
    assert str(path) in str(caught.value)
    assert part in str(caught.value)
