"""Parser of the scenario language: each line has a verb, words and options."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from lark import Lark
from lark import Token
from lark import Transformer

if TYPE_CHECKING:
    from pathlib import Path

GRAMMAR = r"""
start: _NL? scenario+
scenario: "scenario" STRING _NL "guards" STRING _NL step+
step: WORD argument* _NL
?argument: option | word
option: OPTION (WORD | STRING)
word: WORD | STRING

OPTION.2: /[a-z_]+=/
WORD: /[A-Za-z0-9_\/.,:*?&-]+/
STRING: /"[^"\n]*"/
_NL: /([ \t]*(#[^\n]*)?\r?\n)+[ \t]*/
%ignore /[ \t]+/
"""


@dataclass(frozen=True, slots=True)
class Step:
    """One line of a scenario.

    Attributes:
        verb: First word of the line.
        words: Positional arguments.
        options: Values of the key=value arguments.
        line: Line number in the file.
    """

    verb: str
    words: tuple[str, ...]
    options: dict[str, str]
    line: int

    def __str__(self) -> str:
        options = [f"{key}={value}" for key, value in self.options.items()]
        return f"line {self.line}: {' '.join([self.verb, *self.words, *options])}"


@dataclass(frozen=True, slots=True)
class Scenario:
    """A named list of steps and the failure that it guards against."""

    name: str
    guards: str
    steps: list[Step] = field(default_factory=list)


class _Builder(Transformer[Token, list[Scenario]]):
    def start(self, scenarios: list[Scenario]) -> list[Scenario]:
        return scenarios

    def scenario(self, parts: list[object]) -> Scenario:
        steps = [part for part in parts[2:] if isinstance(part, Step)]
        return Scenario(_unquote(parts[0]), _unquote(parts[1]), steps)

    def step(self, parts: list[object]) -> Step:
        verb = parts[0]
        assert isinstance(verb, Token)
        words = tuple(part for part in parts[1:] if isinstance(part, str))
        options: dict[str, str] = dict(part for part in parts[1:] if isinstance(part, tuple))
        return Step(str(verb), words, options, verb.line or 0)

    def word(self, parts: list[object]) -> str:
        return _unquote(parts[0])

    def option(self, parts: list[object]) -> tuple[str, str]:
        return str(parts[0]).removesuffix("="), _unquote(parts[1])


def parse_scenarios(path: Path) -> list[Scenario]:
    """Parses the scenarios in a file.

    Raises:
        lark.UnexpectedInput: If the syntax is invalid; contains the line and the expected tokens.
    """
    parser = Lark(GRAMMAR, parser="lalr")
    return _Builder().transform(parser.parse(path.read_text()))


def _unquote(part: object) -> str:
    return str(part).strip('"')
