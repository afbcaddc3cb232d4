"""The rule language: invalid files give one-line errors, and both engines give the same answers for valid ones."""

import math
import random
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from seamlb.cli import main
from seamlb.plugins.abi import ModuleError, custom_section, decode_manifest
from seamlb.plugins.engine import WasmEngine
from seamlb.plugins.formatter import format_file
from seamlb.plugins.interpreter import Interpreter
from seamlb.plugins.language import parse
from seamlb.plugins.syntax import RuleError
from seamlb.plugins.type_checker import POINTS, Program, compile_rules
from seamlb.plugins.wasm import compile_program

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES = sorted((ROOT / "examples/plugins").glob("*.rules"))
HEAD = "plugin p version 1\n"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "r:1:1: unexpected end of file"),
        ("plugin p", "r:1:1: unexpected end of file (expected version)"),
        ("plugin P version 1", "r:1:8: 'P' is not a valid character here"),
        (HEAD + "rule x on admit when $ then refuse", "r:2:22: '$' is not a valid character here"),
        (HEAD + 'rule x on admit when office == "a then refuse', "r:2:32"),
        (HEAD + "rule x on admit then refuse refuse", "r:2:29: 'refuse' is not allowed here"),
        (HEAD + "rule x on admit then refuse\nrule x on admit then spare", "r:3:1: rule x is defined twice"),
        (HEAD + "rule x on admitt then refuse", "unknown point 'admitt' (did you mean admit?)"),
        (HEAD + 'rule x on admit when ofice == "a" then refuse', "unknown fact 'ofice' (did you mean office?)"),
        (HEAD + "rule x on admit when calls > 3 then refuse", "unknown name 'calls'"),
        (HEAD + "rule x on admit then precedence", "precedence is not allowed on admit"),
        (HEAD + 'rule x on tick when office == "a" then alarm "b"', "office is not available on tick"),
        (HEAD + 'rule x on admit when result == "cut" then refuse', "result is not available on admit"),
        (HEAD + 'rule x on observe when result == "cutt" then alarm "b"', "did you mean cut?"),
        (
            HEAD + "rule x on admit when patience > 3 then refuse",
            "a time compared to a number (units must agree)",
        ),
        (HEAD + "rule x on admit when patience + 3 > 3 s then refuse", "a time and a number cannot be added"),
        (HEAD + "rule x on admit when patience * 3 s > 3 s then refuse", "a time * a time is not defined"),
        (HEAD + "rule x on admit when hour then refuse", "the condition is a number (it must be true or false)"),
        (HEAD + "rule x on admit when hour > 24 then refuse", "hour is from 0 to 23, never 24"),
        (HEAD + "rule x on admit when hour / 0 > 1 then refuse", "division by zero"),
        (HEAD + "rule x on admit when office then refuse", "office is a text"),
        (HEAD + 'rule x on admit when office < "a" then refuse', "texts do not support <"),
        (HEAD + 'rule x on admit when hour == "a" then refuse', "a text is compared with a fact of another type"),
        (HEAD + "rule x on admit when true < false then refuse", "truth values do not support <"),
        (
            HEAD + "rule x on admit when true and false then refuse",
            "rule x is unreachable (its condition is always false)",
        ),
        (
            HEAD + "rule x on admit then stop\nrule y on admit then refuse",
            "rule y is unreachable (rule x always stops",
        ),
        (HEAD + "counter c over 3", "counter c needs a time span (from 1 s to 24 h)"),
        (HEAD + "counter c of hour over 3 s", "unknown key fact 'hour'"),
        (HEAD + "keep k = 1\nkeep k = 2", "k is already defined"),
        (HEAD + "keep hour = 1", "hour is already defined"),
        (HEAD + "keep k = 1 s\nrule x on tick then set k to 3", "k is a time, not a number"),
        (HEAD + "keep k = 1\nrule x on tick then count k", "unknown counter 'k'"),
        (HEAD + 'table t of office default 0 { "a" = 1 "a" = 2 }', "table t has the key 'a' twice"),
        (HEAD + 'table t of office default 0 { "a" = 1 s }', "table t mixes units"),
        (HEAD + "rule x on admit when " + "not " * 70 + "true then refuse", "nested too deeply"),
        (HEAD + 'table t of office default 0 {\n  "a" = 1\n  "b" 2 }', "r:4:3: not a table row"),
        (HEAD + 'table t of office default 0 { "a" = 1', "r:2:29"),
    ],
)
def test_an_error_is_one_line_with_its_position(text: str, expected: str) -> None:
    with pytest.raises(RuleError) as caught:
        compile_rules(text, "r")
    assert expected in str(caught.value) and "\n" not in str(caught.value) and str(caught.value).startswith("r:")


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda p: p.name)
def test_the_examples_compile_to_the_same_program_when_formatted(path: Path) -> None:
    program = compile_rules(path.read_text(), str(path))
    text = format_file(parse(path.read_text()))
    assert format_file(parse(text)) == text
    recompiled = compile_rules(text)
    assert (recompiled.inputs, recompiled.answers, recompiled.points) == (
        program.inputs,
        program.answers,
        program.points,
    )


def both_engines(program: Program) -> tuple[WasmEngine, Interpreter]:
    return WasmEngine(compile_program(program), len(program.inputs)), Interpreter(program)


def condition(rng: random.Random, depth: int) -> str:
    """A random expression that is true or false."""
    if not depth:
        return rng.choice(
            (
                'class == "a"',
                'office != "b"',
                'number starts with "36"',
                "flag",
                "true",
                f"hour {rng.choice(('<', '>=', '=='))} {rng.randrange(24)}",
            )
        )
    left, right = condition(rng, depth - 1), condition(rng, depth - 1)
    return rng.choice(
        (
            f"({left} and {right})",
            f"({left} or {right} or {left})",
            f"not {left}",
            f"not ({right})",
            f"({value(rng, depth - 1)} {rng.choice(('<', '<=', '==', '!=', '>', '>='))} {value(rng, depth - 1)})",
        )
    )


def value(rng: random.Random, depth: int) -> str:
    """A random numeric expression."""
    if not depth:
        return rng.choice(("hour", "desks", "kept", "seen", "stage", "2.5", "0", "7", "5%"))
    left, right = value(rng, depth - 1), value(rng, depth - 1)
    return rng.choice(
        (f"({left} + {right})", f"({left} - {right})", f"{left} * {right}", f"({left}) / (1 + {right})", f"-({left})")
    )


def random_rules(rng: random.Random) -> str:
    lines = [
        HEAD,
        "state flag of office",
        "keep kept = 2",
        "counter seen of office over 10 s",
        'table stage of number default 1 { "36" = 4 }',
    ]
    for n in range(rng.randint(1, 5)):
        actions = rng.choice(("refuse", "spare", "count seen", f"set kept to {value(rng, 2)}", "refuse, stop"))
        lines.append(f"rule r{n} on admit when {condition(rng, rng.randint(0, 4))} then {actions}")
    return "\n".join(lines)


def test_both_engines_give_the_same_answers_on_random_rules() -> None:
    answered = runs = 0
    for number in range(300):
        rng = random.Random(number)
        try:
            program = compile_rules(random_rules(rng))
        except RuleError as error:
            assert "is unreachable" in str(error) or "division" in str(error) or "never" in str(error), error
            continue
        wasm, interpreter = both_engines(program)
        for _ in range(4):
            inputs = [rng.choice((0.0, 1.0, 4.0, 23.0)) for _ in program.inputs]
            first, second = wasm.run(1, inputs, 100_000)[0], interpreter.run(1, inputs, 100_000)[0]
            assert [n for n, _ in first] == [n for n, _ in second], number
            assert all(
                a == b or (math.isnan(a) and math.isnan(b)) for (_, a), (_, b) in zip(first, second, strict=True)
            )
            answered += len(first)
            runs += 1
    assert answered > 500 and runs > 600


def test_a_point_without_rules_gives_no_answers() -> None:
    for engine in both_engines(compile_rules(HEAD + "rule x on admit then refuse")):
        assert [engine.run(point, [], 1000)[0] for point in range(len(POINTS))] == [[], [(0, 1.0)], [], [], [], []]


@seed(7)
@settings(max_examples=300, deadline=None, database=None)
@given(st.text(alphabet=st.sampled_from(list('plugin rulewhen<>=()"aon123 \n#{}%-+*/sm')), max_size=200))
def test_random_text_raises_no_other_exception_than_rule_error(text: str) -> None:
    try:
        compile_rules(HEAD + text)
    except RuleError as error:
        assert "\n" not in str(error)


@seed(8)
@settings(max_examples=1000, deadline=None, database=None)
@given(st.integers(0, 2**32))
def test_mutated_modules_raise_only_module_and_plugin_errors(number: int) -> None:
    rng = random.Random(number)
    data = bytearray(compile_program(compile_rules(EXAMPLES[number % len(EXAMPLES)].read_text())))
    for _ in range(rng.randint(1, 4)):
        if rng.random() < 0.2:
            del data[rng.randrange(8, len(data)) :]
        offset = rng.randrange(8, max(9, len(data)))
        data[offset : offset + rng.randint(0, 2)] = rng.randbytes(rng.randint(0, 3))
    from seamlb.plugins.abi import PluginError

    try:
        program = decode_manifest(custom_section(bytes(data)))
        engine = WasmEngine(bytes(data), len(program.inputs))
    except ModuleError as error:
        assert "\n" not in str(error)
        return
    for point in range(len(POINTS)):
        try:
            engine.run(point, [1.0] * len(program.inputs), 10_000)
        except PluginError as error:
            assert error.kind in ("fuel", "trap", "answers", "start")


def test_a_table_of_100_000_rows_compiles() -> None:
    rows = "\n".join(f'"{n}" = {n % 7} # row' for n in range(100_000))
    text = HEAD + f"table t of number default 9 {{\n{rows}\n}}\nrule x on admit when t == 9 then refuse"
    program = compile_rules(text)
    assert len(program.declarations["t"].rows) == 100_000 and len(program.inputs) == 1


def test_commands_on_files(tmp_path: Path) -> None:
    def run(*args: object) -> tuple[int, str]:
        result = CliRunner().invoke(main, ["plugin", *map(str, args)])
        return result.exit_code, result.output

    bad, out = tmp_path / "bad.rules", tmp_path / "out.wasm"
    bad.write_text("plugin x")
    assert run("check", *EXAMPLES)[0] == 0
    code, output = run("check", bad, EXAMPLES[0], tmp_path / "none.rules")
    assert code == 2 and f"{bad}:1:1" in output and "ok:" in output and "No such file" in output
    assert run("fmt", EXAMPLES[0])[1] == format_file(parse(EXAMPLES[0].read_text()))
    assert run("fmt", bad)[0] == run("explain", bad)[0] == 2
    assert "on observe: counted" in run("explain", EXAMPLES[0])[1]
    assert run("compile", EXAMPLES[0], "--out", out)[0] == 0 and run("check", out)[0] == 0
    out.write_bytes(out.read_bytes()[:40])
    assert run("check", out)[0] == 2
    assert run("list", "--socket", tmp_path / "none.sock")[0] == 2
