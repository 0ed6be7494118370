"""Finds the data set that a statement refers to. The statement is lexed, so that names in strings and
comments do not count."""

import re

TOKEN = re.compile(
    r"""(?P<skip>\s+|--[^\n]*|/\*(?:[^*]|\*(?!/))*(?:\*/|\Z)|\#[^\n]*)
      | (?P<text>'(?:[^'\\]|''|\\.)*(?:'|\\?\Z)|\$(?P<tag>[A-Za-z_]*)\$.*?(?:\$(?P=tag)\$|\Z))
      | (?P<quoted>"(?:[^"]|"")*(?:"|\Z)|`[^`]*(?:`|\Z)|\[[A-Za-z_]\w*\])
      | (?P<word>[^\W\d]\w*)
      | (?P<other>\d[\w.]*|(?:[^\w\s'"`\[$/\#.-]|/(?!\*)|-(?!-))+|.)""",
    re.VERBOSE | re.DOTALL,
)
# A schema is named after its data set: sales_17 belongs to data set 17.
NUMBER_SUFFIX = re.compile(r"_(\d+)\Z")
# Keywords before a table's name.
TABLE_KEYWORDS = frozenset({"from", "join", "into", "update", "table", "using", "copy", "truncate"})
SCHEMAS_WITHOUT_DATA_SET = frozenset({"staging"})


def _tokens(statement: str) -> list[str]:
    """Return the tokens without whitespace and comments: identifiers without their quotes, and each string
    literal as an empty one."""
    tokens = []
    for match in TOKEN.finditer(statement):
        kind, text = match.lastgroup, match.group()
        if kind == "quoted":
            tokens.append(text[1:-1])
        elif kind in ("word", "other"):
            tokens.append(text)
        elif kind == "text":
            tokens.append("''")
    return tokens


def data_set(statement: str) -> int:
    """Return the number at the end of the schema's name, 0 if there is none. A qualified name behind FROM or
    a similar keyword has precedence; one found elsewhere may be that of an alias."""
    tokens = _tokens(statement)
    fallback = 0
    for index in range(len(tokens) - 1):
        if tokens[index + 1] != "." or not (number := NUMBER_SUFFIX.search(tokens[index])):
            continue
        before = tokens[index - 1].lower() if index else ""
        if tokens[index].lower() in SCHEMAS_WITHOUT_DATA_SET or before == ".":
            continue
        if before in TABLE_KEYWORDS:
            return int(number[1])
        fallback = fallback or int(number[1])
    return fallback
