"""Random protobuf messages: any field set or not, with extreme numbers."""

from google.protobuf.descriptor import FieldDescriptor
from hypothesis import strategies as st

_INTEGER_LIMITS = {
    FieldDescriptor.CPPTYPE_INT32: (-(2**31), 2**31 - 1),
    FieldDescriptor.CPPTYPE_INT64: (-(2**63), 2**63 - 1),
    FieldDescriptor.CPPTYPE_UINT32: (0, 2**32 - 1),
    FieldDescriptor.CPPTYPE_UINT64: (0, 2**64 - 1),
}
_TEXTS = st.sampled_from(('', 'a', 'b', 'c', 'a/1', 'ü' * 40, '\x00'))
_MAX_REPEATED = 3
_MAX_DEPTH = 3


def _scalar(field):
    kind = field.cpp_type
    if kind in _INTEGER_LIMITS:
        least, most = _INTEGER_LIMITS[kind]
        small = st.integers(0, 8)
        return st.one_of(small, st.sampled_from((least, most, most // 2)))
    if kind == FieldDescriptor.CPPTYPE_ENUM:
        return st.integers(0, 5)
    if kind == FieldDescriptor.CPPTYPE_BOOL:
        return st.booleans()
    if kind == FieldDescriptor.CPPTYPE_STRING:
        if field.type == FieldDescriptor.TYPE_BYTES:
            return st.sampled_from((b'', b'{}', b'[]', b'\xff\xff', b'{"a":1}'))
        return _TEXTS
    return st.sampled_from((0.0, 1.5, -1.0, 1e308, float('inf'), float('nan')))


@st.composite
def messages(draw, kind, depth=0):
    """Draw a message of a generated class."""
    built = kind()
    for field in kind.DESCRIPTOR.fields:
        if not draw(st.booleans()):
            continue
        is_message = field.cpp_type == FieldDescriptor.CPPTYPE_MESSAGE
        if is_message and depth >= _MAX_DEPTH:
            continue
        strategy = (
            messages(field.message_type._concrete_class, depth + 1)
            if is_message
            else _scalar(field)
        )
        _set(draw, built, field, strategy)
    return built


def _set(draw, built, field, strategy):
    if field.is_repeated:
        values = draw(st.lists(strategy, max_size=_MAX_REPEATED))
        getattr(built, field.name).extend(values)
    elif field.cpp_type == FieldDescriptor.CPPTYPE_MESSAGE:
        getattr(built, field.name).CopyFrom(draw(strategy))
    else:
        setattr(built, field.name, draw(strategy))
