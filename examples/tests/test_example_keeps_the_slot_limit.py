import importlib.util
import pathlib

_PATH = pathlib.Path(__file__).parent.parent / "limited_leaf.py"


async def test_the_embedded_aggregate_answers_all_within_its_slots(capsys):
    spec = importlib.util.spec_from_file_location("limited_leaf", _PATH)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    back_end = await module.main()
    assert "20 of 20 queries answered" in capsys.readouterr().out
    assert back_end.most <= 2
