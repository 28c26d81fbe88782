"""WebDAV XML bodies (RFC 4918 sections 9 and 14) with lxml: no DTD, no entities, limited size and depth."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from lxml import etree

D = "{DAV:}"
XML_TYPE = b'application/xml; charset="utf-8"'


class InvalidXMLError(ValueError):
    """A body that is malformed, too large, nested too deeply, or not of the type that the method requires."""


@dataclass(frozen=True, slots=True)
class PropFind:
    """A PROPFIND body: kind is "prop", "allprop" or "propname"; names are Clark names."""

    kind: str
    names: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PropPatch:
    """One PROPPATCH instruction: `xml` is the serialized element to set, or None to remove the property."""

    name: str
    xml: bytes | None


@dataclass(frozen=True, slots=True)
class LockInfo:
    """The lock that a LOCK body requests; `owner` is a serialized element or None."""

    exclusive: bool
    owner: bytes | None


@dataclass(slots=True)
class Response:
    """One DAV:response of a multistatus: properties by status, or one status for the resource."""

    href: str
    propstats: dict[int, list[Any]]
    status: int | None = None
    error: str = ""


def parse(data: bytes, *, max_bytes: int = 262144, max_depth: int = 64) -> Any:
    """Parse a body and return its root element; raises InvalidXMLError.

    Any DOCTYPE is refused, because entities can expand exponentially or read files.  The depth is limited,
    because deep nesting can overflow the stack.
    """
    if len(data) > max_bytes:
        raise InvalidXMLError(f"the XML body is longer than {max_bytes} bytes")
    parser = etree.XMLParser(
        resolve_entities=False,
        no_network=True,
        load_dtd=False,
        huge_tree=False,
        remove_pis=True,
        remove_comments=True,
    )
    try:
        root = etree.fromstring(data, parser)
    except (etree.XMLSyntaxError, ValueError) as exc:
        raise InvalidXMLError(f"the XML body is not well-formed: {str(exc)[:200]}") from None
    docinfo: Any = root.getroottree().docinfo
    if docinfo.doctype:
        raise InvalidXMLError("a DOCTYPE is not accepted")
    deepest, pending = 0, [(root, 1)]
    while pending:
        element, level = pending.pop()
        deepest = max(deepest, level)
        if deepest > max_depth:
            raise InvalidXMLError(f"the XML body is deeper than {max_depth}")
        for child in element:
            if not isinstance(child.tag, str):
                raise InvalidXMLError("an entity reference is not accepted")
            pending.append((child, level + 1))
    for element in root.iter():
        if element.prefix and not etree.QName(element).namespace:
            raise InvalidXMLError("a namespace prefix has no name")
    return root


def propfind(data: bytes, **bounds: int) -> PropFind:
    """Parse a PROPFIND body; an empty one means allprop."""
    if not data:
        return PropFind("allprop")
    root = parse(data, **bounds)
    if root.tag != D + "propfind":
        raise InvalidXMLError("DAV:propfind was expected")
    for child in root:
        if child.tag == D + "propname":
            return PropFind("propname")
        if child.tag == D + "allprop":
            include = root.find(D + "include")
            names = tuple(p.tag for p in include) if include is not None else ()
            return PropFind("allprop", names)
        if child.tag == D + "prop":
            return PropFind("prop", tuple(p.tag for p in child))
    raise InvalidXMLError("DAV:propfind holds none of prop, allprop, propname")


def proppatch(data: bytes, **bounds: int) -> list[PropPatch]:
    """Parse a PROPPATCH body into its instructions, in document order."""
    root = parse(data, **bounds)
    if root.tag != D + "propertyupdate":
        raise InvalidXMLError("DAV:propertyupdate was expected")
    found: list[PropPatch] = []
    for instruction in root:
        if instruction.tag not in (D + "set", D + "remove"):
            continue
        for prop in instruction.findall(D + "prop"):
            for element in prop:
                if instruction.tag == D + "remove":
                    found.append(PropPatch(element.tag, None))
                else:
                    found.append(PropPatch(element.tag, serialize_detached(element)))
    if not found:
        raise InvalidXMLError("DAV:propertyupdate holds no property")
    return found


def serialize_detached(element: Any) -> bytes:
    """Serialize an element on its own, with the namespaces and the xml:lang that it inherits."""
    lang = "{http://www.w3.org/XML/1998/namespace}lang"
    for ancestor in element.iterancestors():
        if lang in element.attrib:
            break
        if lang in ancestor.attrib:
            element.set(lang, ancestor.get(lang))
    element.tail = None
    return bytes(etree.tostring(element))


def lockinfo(data: bytes, **bounds: int) -> LockInfo | None:
    """Parse a LOCK body; None for an empty one, which refreshes a lock."""
    if not data:
        return None
    root = parse(data, **bounds)
    if root.tag != D + "lockinfo":
        raise InvalidXMLError("DAV:lockinfo was expected")
    if root.find(f"{D}locktype/{D}write") is None:
        raise InvalidXMLError("only write locks are known")
    exclusive = root.find(f"{D}lockscope/{D}exclusive") is not None
    if not exclusive and root.find(f"{D}lockscope/{D}shared") is None:
        raise InvalidXMLError("DAV:lockscope holds neither exclusive nor shared")
    owner = root.find(D + "owner")
    return LockInfo(exclusive, serialize_detached(owner) if owner is not None else None)


def read_multistatus(data: bytes, *, max_bytes: int = 16777216) -> list[Response]:
    """Parse the body of a 207 reply from a node; raises InvalidXMLError."""
    root = parse(data, max_bytes=max_bytes)
    if root.tag != D + "multistatus":
        raise InvalidXMLError("DAV:multistatus was expected")
    found = []
    for element in root.findall(D + "response"):
        response = Response(element.findtext(D + "href") or "", {})
        status = element.findtext(D + "status")
        if status is not None:
            response.status = _status(status)
            error = element.find(D + "error")
            if error is not None and len(error):
                response.error = error[0].tag
        for propstat in element.findall(D + "propstat"):
            code = _status(propstat.findtext(D + "status") or "")
            prop = propstat.find(D + "prop")
            response.propstats.setdefault(code, []).extend(list(prop) if prop is not None else [])
        found.append(response)
    return found


def _status(line: str) -> int:
    parts = line.split()
    if len(parts) < 2 or not parts[1].isdigit():
        raise InvalidXMLError(f"a status line cannot be read: {line!r}")
    return int(parts[1])


_REASON_PHRASES = {
    200: "OK",
    201: "Created",
    204: "No Content",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    412: "Precondition Failed",
    423: "Locked",
    424: "Failed Dependency",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    507: "Insufficient Storage",
}


def status_line(code: int) -> str:
    """Format a status code as the text of a DAV:status element."""
    return f"HTTP/1.1 {code} {_REASON_PHRASES.get(code, 'Status')}"


def write_multistatus(responses: Iterable[Response]) -> bytes:
    """Serialize responses into the body of a 207 answer."""
    root = etree.Element(D + "multistatus", nsmap={"D": "DAV:"})
    for response in responses:
        element = etree.SubElement(root, D + "response")
        etree.SubElement(element, D + "href").text = response.href
        if response.status is not None:
            etree.SubElement(element, D + "status").text = status_line(response.status)
        if response.error:
            etree.SubElement(etree.SubElement(element, D + "error"), response.error)
        for code, properties in response.propstats.items():
            propstat = etree.SubElement(element, D + "propstat")
            prop = etree.SubElement(propstat, D + "prop")
            for item in properties:
                prop.append(item)
            etree.SubElement(propstat, D + "status").text = status_line(code)
    return bytes(etree.tostring(root, xml_declaration=True, encoding="utf-8"))


def virtual_collection_response(href: str, requested: PropFind) -> Response:
    """Return the response for a collection that no node stores: its only property is resourcetype."""
    resource_type = etree.Element(D + "resourcetype")
    etree.SubElement(resource_type, D + "collection")
    if requested.kind == "propname":
        return Response(href, {200: [etree.Element(D + "resourcetype")]})
    missing = [etree.Element(n) for n in dict.fromkeys(requested.names) if n != D + "resourcetype"]
    propstats: dict[int, list[Any]] = {}
    if requested.kind == "allprop" or D + "resourcetype" in requested.names:
        propstats[200] = [resource_type]
    if missing:
        propstats[404] = missing
    return Response(href, propstats)


def write_propfind(names: Iterable[str]) -> bytes:
    """Serialize a PROPFIND body that requests the named properties, or allprop if there are none."""
    root = etree.Element(D + "propfind", nsmap={"D": "DAV:"})
    names = tuple(names)
    if not names:
        etree.SubElement(root, D + "allprop")
    else:
        prop = etree.SubElement(root, D + "prop")
        for name in names:
            etree.SubElement(prop, name)
    return bytes(etree.tostring(root, xml_declaration=True, encoding="utf-8"))


def write_proppatch(elements: Iterable[Any], removed: Iterable[str]) -> bytes:
    """Serialize a PROPPATCH body that sets `elements` and removes the properties `removed`."""
    root = etree.Element(D + "propertyupdate", nsmap={"D": "DAV:"})
    for name in removed:
        prop = etree.SubElement(etree.SubElement(root, D + "remove"), D + "prop")
        etree.SubElement(prop, name)
    for element in elements:
        prop = etree.SubElement(etree.SubElement(root, D + "set"), D + "prop")
        prop.append(element)
    return bytes(etree.tostring(root, xml_declaration=True, encoding="utf-8"))


def error(name: str, href: str | None = None) -> bytes:
    """Serialize a DAV:error body that names a precondition (RFC 4918 section 16)."""
    root = etree.Element(D + "error", nsmap={"D": "DAV:"})
    condition = etree.SubElement(root, name)
    if href is not None:
        etree.SubElement(condition, D + "href").text = href
    return bytes(etree.tostring(root, xml_declaration=True, encoding="utf-8"))
