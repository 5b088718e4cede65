"""Reference pages generated from the code: result codes and settings, as Markdown."""

import inspect
import re
import typing
from dataclasses import MISSING, fields, is_dataclass

from ragwortlug.codes import Code
from ragwortlug.settings import AgentSettings, EntrySettings

_ATTRIBUTE = re.compile(r"^(?P<names>\w+(?:, \w+)*) : ")
GENERATED_NOTICE = (
    "This page is made by `ragwortlug reference`; a test compares it with the code."
)


def codes_page():
    """Return the Markdown page of all result codes."""
    lines = [
        "# Result codes",
        "",
        GENERATED_NOTICE,
        "",
        "Each code says whether the work was *done*, was *not run*, *failed* after",
        "its start, or has an *outcome unknown*. A job's answer carries one for the",
        "job and one for each task.",
        "",
        "| code | name | verdict | HTTP | meaning |",
        "|---|---|---|---|---|",
    ]
    lines += [
        f"| {int(code)} | `{code.name}` | {code.verdict.value} "
        f"| {code.http_status} | {code.meaning} |"
        for code in Code
    ]
    return "\n".join(lines) + "\n"


def settings_page():
    """Return the Markdown page of all settings."""
    lines = ["# Settings", "", GENERATED_NOTICE, ""]
    lines += [
        "Settings are JSON files. An unknown field, a wrong type or a value out of",
        "its range is refused on start with exit code 5 and a line that names the",
        "field, what was given and what is wanted.",
        "",
    ]
    for kind in (EntrySettings, AgentSettings):
        lines += _table(kind, kind.__name__, "")
    return "\n".join(lines).rstrip() + "\n"


def _table(kind, title, path):
    """Return the lines of the tables of a data class and of its nested ones."""
    descriptions = _descriptions(kind)
    hints = typing.get_type_hints(kind, include_extras=True)
    lines = [f"## {title}", "", inspect.getdoc(kind).splitlines()[0], ""]
    lines += ["| field | type | default | what |", "|---|---|---|---|"]
    nested = []
    for field in fields(kind):
        name = path + field.name
        if is_dataclass(hints[field.name]):
            nested.append((hints[field.name], f"{title}: `{name}`", f"{name}."))
            continue
        description = descriptions.get(field.name, "")
        type_name = _type_name(hints[field.name])
        lines.append(f"| `{name}` | {type_name} | {_default(field)} | {description} |")
    lines.append("")
    for inner, inner_title, inner_path in nested:
        lines += _table(inner, inner_title, inner_path)
    return lines


def _descriptions(kind):
    """Return the descriptions in a class's docstring by attribute name."""
    descriptions = {}
    names = []
    for line in inspect.getdoc(kind).splitlines():
        match = _ATTRIBUTE.match(line)
        if match:
            names = match["names"].split(", ")
        elif names and line.startswith("    "):
            for name in names:
                descriptions[name] = (
                    f"{descriptions.get(name, '')} {line.strip()}".strip()
                )
    return descriptions


def _type_name(hint):
    """Return a type in readable form, with its bounds."""
    bounds = ""
    if typing.get_origin(hint) is typing.Annotated:
        meta = hint.__metadata__[0]
        signs = {"ge": "≥", "gt": ">", "le": "≤", "lt": "<"}
        given = {sign: getattr(meta, name) for name, sign in signs.items()}
        bounds = "".join(f" {k} {v}" for k, v in given.items() if v is not None)
        hint = typing.get_args(hint)[0]
    if typing.get_origin(hint) is typing.Literal:
        return " or ".join(f'"{each}"' for each in typing.get_args(hint))
    if typing.get_origin(hint) is tuple:
        return f"list of {typing.get_args(hint)[0].__name__}"
    return hint.__name__ + bounds


def _default(field):
    """Return a field's default as Markdown, or "required" if it has none."""
    if field.default is MISSING:
        return "required"
    return f"`{field.default!r}`".replace("'", '"')


PAGES = {"codes": codes_page, "settings": settings_page}
