"""Which data set a statement touches: lexed, so that text in strings and comments cannot name one."""

import re

TOKEN = re.compile(
    r"""(?P<skip>\s+|--[^\n]*|/\*(?:[^*]|\*(?!/))*(?:\*/|\Z)|\#[^\n]*)
      | (?P<text>'(?:[^'\\]|''|\\.)*(?:'|\\?\Z)|\$(?P<tag>[A-Za-z_]*)\$.*?(?:\$(?P=tag)\$|\Z))
      | (?P<quoted>"(?:[^"]|"")*(?:"|\Z)|`[^`]*(?:`|\Z)|\[[A-Za-z_]\w*\])
      | (?P<word>[^\W\d]\w*)
      | (?P<other>\d[\w.]*|(?:[^\w\s'"`\[$/\#.-]|/(?!\*)|-(?!-))+|.)""",
    re.VERBOSE | re.DOTALL,
)
NUMBERED = re.compile(r"_(\d+)\Z")
OPENERS = frozenset({"from", "join", "into", "update", "table", "using", "copy", "truncate"})
SEPARATE = frozenset({"staging"})


def _names(statement: str) -> list[str]:
    """Names and single marks in order; a quoted name counts like a plain one."""
    found = []
    for match in TOKEN.finditer(statement):
        kind, text = match.lastgroup, match.group()
        if kind == "quoted":
            found.append(text[1:-1])
        elif kind in ("word", "other"):
            found.append(text)
        elif kind == "text":
            found.append("''")
    return found


def data_set(statement: str) -> int:
    """The number in the schema's name; a name behind FROM and the like goes before an alias; 0 if none."""
    names, spare = _names(statement), 0
    for at in range(len(names) - 1):
        if names[at + 1] != "." or not (number := NUMBERED.search(names[at])):
            continue
        before = names[at - 1].lower() if at else ""
        if names[at].lower() in SEPARATE or before == ".":
            continue
        if before in OPENERS:
            return int(number[1])
        spare = spare or int(number[1])
    return spare
